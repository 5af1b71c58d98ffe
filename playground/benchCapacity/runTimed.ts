import { capacityConstants } from './constants.js'

/** Measures the CPU time of one call of `run` in microseconds, after a warm-up: one value for each repetition of `count` calls. */
export function runTimed (count: number, run: (index: number) => void): readonly number[] {
  for (let i = 0; i < count; i++) run(i)
  return Array.from({ length: capacityConstants.repetitions }, (_, repetition) => {
    const before = process.cpuUsage()
    for (let i = 0; i < count; i++) run(repetition * count + i)
    const { user, system } = process.cpuUsage(before)
    return (user + system) / count
  })
}
