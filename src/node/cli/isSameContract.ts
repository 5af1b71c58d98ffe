import { compareContracts } from './compareContracts.js'

/** Whether two contracts have the same fields; null stands for none. */
export function isSameContract (a: object | null, b: object | null): boolean {
  return (a === null) === (b === null) && compareContracts(a, b).length === 0
}
