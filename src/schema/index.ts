/** Schemas of the configuration, wire messages and stored objects, with the types inferred from them. */
export * from './config.js'
export * from './wire.js'
export * from './control.js'
