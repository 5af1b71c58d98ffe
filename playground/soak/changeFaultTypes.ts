/**
 * Changes around hosts. `engines-released` adds engines of a new software version, and then removes those of the oldest
 * one; `hosts-lost` kills all hosts at once; `start-beside-ports` starts a host while other programs listen at some of its
 * ports, `start-beside-builds` while builds replace its program.
 */
export const changeFaultTypes = ['engines-released', 'hosts-lost', 'start-beside-ports', 'start-beside-builds'] as const
