/**
 * Changes around hosts: `start-beside-ports` starts a host while other programs listen at some of its ports,
 * `start-beside-builds` while builds replace its program.
 */
export const changeFaultTypes = ['start-beside-ports', 'start-beside-builds'] as const
