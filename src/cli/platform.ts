/**
The options with which commands reach the platform.
*/
import * as http from '../store/http.js';

/** The options of every command that uses the platform's store. */
export type Arguments = {platform: string; json: boolean};

/** Their descriptions, for yargs. */
export const options = {
	platform: {type: 'string', demandOption: true, describe: 'Base URL of the platform\'s object API'},
	json: {type: 'boolean', default: false, describe: 'Print JSON for scripts'},
} as const;

const timeoutMs = 5000;

/** The platform's store. */
export function open(url: string): http.Store {
	return new http.Store({url, timeoutMs, watchMs: timeoutMs});
}

/** Whether `url` can be used; the message for yargs otherwise. */
export function verify({platform}: {platform: string}): true {
	if (!URL.canParse(platform) || !/^https?:/v.test(platform)) {
		throw new Error(`--platform: "${platform}" is not an http or https URL`);
	}

	return true;
}
