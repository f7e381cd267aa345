/** Quotas of client accounts over all gateways. */
export { bucketLimit, costOf, windowLimit, type Limit, type QuotaBounds } from './limit.js'
export { ShareBucket, type Charge, type Clocks } from './share-bucket.js'
export { ShareCount, type Membership } from './share-count.js'
export { RetryLine } from './retry-line.js'
export { ChargedCall } from './call-credit.js'
export { Quotas, type Gateways, type QuotasDeps } from './quotas.js'
