/** Which gateways there are. */
export { Directory, GATEWAYS_PREFIX, type DirectoryParts, type GatewayRecord } from './directory.js'
