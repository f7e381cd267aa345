/** Which gateways there are. */
export { Directory, GATEWAYS_PREFIX, type DirectoryDeps, type GatewayRecord } from './directory.js'
