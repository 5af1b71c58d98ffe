import { stageConstants } from './constants.js'

/**
 * Share of the stated memory for results that calls may fill. Results have approximate sizes; at a load peak all memory
 * is in use, and a call to the last byte gets some pieces back without a result. The share falls with each call that
 * lacked memory and rises slowly with the others.
 */
export class ResultRoom {
  private share = 1

  get usableShare (): number {
    return this.share
  }

  observeCall (hasLackedRoom: boolean): void {
    const { roomStepDown, roomStepUp, minRoomShare } = stageConstants
    this.share = Math.min(Math.max(this.share + (hasLackedRoom ? -roomStepDown : roomStepUp), minRoomShare), 1)
  }
}
