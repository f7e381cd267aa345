/** Directory of the gateways. */
export { Directory, GATEWAYS_PREFIX, type DirectoryDeps, type GatewayRecord } from './directory.js'
