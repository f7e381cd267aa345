/** The platform's interfaces and their HTTP client. */
export type * from './types.js'
export { HttpPlatform } from './http-client.js'
