/** Buffers of bounded size. */
export { ByteBudget } from './byte-budget.js'
export { ByteCollector } from './byte-collector.js'
export { readAll } from './read-all.js'
