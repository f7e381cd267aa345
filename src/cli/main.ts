#!/usr/bin/env node
/** Entry point of the command line interface. */
import { PROCESS_IO } from './common.js'
import { runProgram } from './program.js'

await runProgram(PROCESS_IO, process.argv.slice(2))
