/** Buffers of bounded size. */
export { ByteBudget, type ByteBudgetOptions } from './byte-budget.js'
export { ByteCollector } from './byte-collector.js'
export { readAll } from './read-all.js'
