/** The platform's interfaces and their HTTP client. */
export type * from './types.js'
export { HttpPlatform } from './http-client.js'
export { StoreEras, type RestoreListener } from './store-eras.js'
export { eraOf, revisionOf, storeVersion } from './store-version.js'
