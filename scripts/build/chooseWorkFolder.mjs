import { statSync } from 'node:fs'

/** The folder in which packages are installed before they are renamed into the checkout, which needs one file system. */
export function chooseWorkFolder (root, folder, readDevice = path => statSync(path).dev) {
  return readDevice(folder) === readDevice(root) ? folder : root
}
