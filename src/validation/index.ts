/** Building blocks of the schemas of messages from outside the process. */
export { list, record, tupleWithRest, MAX_ISSUES, type ListBounds } from './collections.js'
export { decodeJson, parseJson } from './json.js'
