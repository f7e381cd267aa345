/** The platform's interfaces and their HTTP client. */
export type * from './types.js'
export { HttpPlatform } from './http-client.js'
export { StoreEras, type RestoreListener } from './store-eras.js'
export { REVISIONS_PER_ERA, eraOf, revisionOf, storeVersion } from './store-version.js'
