/** ts-results for the bundle: its main file loads its parts at run time, which a bundle cannot contain. */
export * as default from '../node_modules/ts-results/esm/index.js'
