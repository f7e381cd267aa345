/** Directory of the gateways. */
export { Directory, GATEWAYS_PREFIX, type DirectoryDeps } from './directory.js'
