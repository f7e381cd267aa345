/** Hashes for sharding, rendezvous hashing and chains of prompt prefixes; secrets use node:crypto. */
export { hash32, hash64Hex, rendezvous } from './hash.js'
