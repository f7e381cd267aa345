/** A call on its way from a caller to a target, in words of no protocol. */
export type {
  ResponseHead, CacheChange, CacheChanges, CacheProtocol, CacheQuery, Call, KvSource, Prompt, PromptSegment, Reply, SendPlan, ReportedLoad, TargetProtocol
} from './types.js'
