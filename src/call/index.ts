/** Types of a call between caller and target, independent of any wire protocol. */
export type {
  ResponseHead, CacheChange, CacheChanges, CacheProtocol, CacheQuery, Call, CallCredit, KvSource, Prompt, PromptSegment, Reply, SendPlan, ReportedLoad, TargetProtocol
} from './types.js'
