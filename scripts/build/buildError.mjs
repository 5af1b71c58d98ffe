/** A build that could not be carried out; the message states what is missing. */
export class BuildError extends Error {
  name = 'BuildError'
}
