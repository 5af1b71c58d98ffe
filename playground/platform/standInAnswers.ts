import { buildStandInAnswer } from './buildStandInAnswer.js'
import { sendNumberedEvents } from './sendNumberedEvents.js'
import type { Socket } from 'node:net'
import type { StandInRequest } from './standInRequest.js'

let handleCount = 0

/** Answers of upstream stand-ins by kind of service. */
export const standInAnswers = {
  /** Number of events of a stream. */
  eventCount: 4,

  /** Answers a plain request; closes every other connection, so that new ones are needed. */
  sendPlain (request: StandInRequest, socket: Socket): void {
    if (++handleCount % 2 === 0) socket.write(buildStandInAnswer(request))
    else socket.end(buildStandInAnswer(request, { headers: { Connection: 'close' } }))
  },

  /** Streams the events after the one that the client has. */
  sendEvents (request: StandInRequest, socket: Socket): void {
    sendNumberedEvents(request, socket, standInAnswers.eventCount, eventId => `token-${eventId}`)
  },

  /** Answers a stage call with a handle for each piece. */
  sendPieceResults (request: StandInRequest, socket: Socket): void {
    const { items } = JSON.parse(request.body === '' ? '{}' : request.body) as { readonly items?: readonly unknown[] }
    const body = JSON.stringify({ items: (items ?? []).map(() => ({ handle: `127.0.0.1:1/${++handleCount}` })) })
    socket.write(buildStandInAnswer(request, { body, headers: { 'X-Response-Signature': '' } }))
  }
} as const
