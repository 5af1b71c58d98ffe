import { createPeerMethod } from './createPeerMethod.js'
import { lycheetrack as messages } from './generated/peer.js'

/** All methods of the peer protocol. peer.proto defines their messages. */
export const peerMethods = {
  ping: createPeerMethod('Ping', messages.PingRequest, messages.PingResponse),
  memberList: createPeerMethod('MemberList', messages.MemberListRequest, messages.MemberListResponse),
  pushContracts: createPeerMethod('PushContracts', messages.PushContractsRequest, messages.PushContractsResponse),
  contractDigest: createPeerMethod('ContractDigest', messages.ContractDigestRequest, messages.ContractDigestResponse),
  pullContracts: createPeerMethod('PullContracts', messages.PullContractsRequest, messages.PullContractsResponse),
  contractInForce: createPeerMethod('ContractInForce', messages.ContractInForceRequest, messages.ContractInForceResponse),
  registerRequest: createPeerMethod('RegisterRequest', messages.RegisterRequestRequest, messages.RegisterRequestResponse),
  findRequest: createPeerMethod('FindRequest', messages.FindRequestRequest, messages.RegisterRequestResponse),
  joinRequest: createPeerMethod('JoinRequest', messages.JoinRequestRequest, messages.AnswerEvent, true),
  cancelRequest: createPeerMethod('CancelRequest', messages.CancelRequestRequest, messages.CancelRequestResponse),
  handOver: createPeerMethod('HandOver', messages.HandOverRequest, messages.HandOverResponse),
  rateReport: createPeerMethod('RateReport', messages.RateReportRequest, messages.RateReportResponse),
  writeClaim: createPeerMethod('WriteClaim', messages.WriteClaimRequest, messages.WriteClaimResponse),
  modelDemand: createPeerMethod('ModelDemand', messages.ModelDemandRequest, messages.ModelDemandResponse),
  scheduleStages: createPeerMethod('ScheduleStages', messages.StageOrder, messages.StageReport, true),
  relayExchanges: createPeerMethod('RelayExchanges', messages.RelayOrder, messages.RelayReport, true),
  burn: createPeerMethod('Burn', messages.BurnRequest, messages.BurnResponse)
} as const
