/**
Options of the commands that access the platform's store.
*/
import * as http from '../store/http.js';

/** Parsed options of these commands. */
export type Arguments = {platform: string; json: boolean};

/** Option definitions for yargs. */
export const options = {
	platform: {type: 'string', demandOption: true, describe: 'Base URL of the platform\'s object API'},
	json: {type: 'boolean', default: false, describe: 'Print JSON for scripts'},
} as const;

const timeoutMs = 5000;

/** Creates a client of the platform's store. */
export function open(url: string): http.Store {
	return new http.Store({url, timeoutMs, watchMs: timeoutMs});
}

/** Checks the URL of the platform. Throws an error whose message yargs prints if it is invalid. */
export function verify({platform}: {platform: string}): true {
	if (!URL.canParse(platform) || !/^https?:/v.test(platform)) {
		throw new Error(`--platform: "${platform}" is not an http or https URL`);
	}

	return true;
}
