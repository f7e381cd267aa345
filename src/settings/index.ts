/** Settings of daemons. */
export { EntrySettings, parseSettings, type SettingsProblem } from './settings.js'
