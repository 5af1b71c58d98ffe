/**
 * Why a connection with an unread answer is closed: nothing of it was taken within the timeout, or a new connection
 * needed its room.
 */
export type UnreadReason = 'unread-timeout' | 'unread-evicted'
