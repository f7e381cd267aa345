/** A call on its way from a caller to a target, in words of no protocol. */
export type {
  AnswerHead, CacheChange, CacheChanges, CacheProtocol, CacheQuery, Call, HandOver, Prompt, PromptPart, Reply, SendPlan, StatedLoad, TargetProtocol
} from './types.js'
