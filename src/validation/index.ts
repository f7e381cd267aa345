/** Building blocks of the schemas of messages from outside the process. */
export * from './collections.js'
