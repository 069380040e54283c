/**
The record of a run: what was sent, answered and run, with the time in seconds.
*/
import * as fs from 'node:fs';
import * as clock from './clock.js';

/** Writes lines to `record.txt` in the folder of a case. */
export class Record {
	#file;

	constructor(folder) {
		this.#file = fs.openSync(`${folder}/record.txt`, 'w');
	}

	/** Writes one line. */
	write(text) {
		fs.writeSync(this.#file, `${(clock.now() / 1000).toFixed(3)} ${text}\n`);
	}

	/** Writes one line, also to standard output. */
	tell(text) {
		this.write(text);
		console.log(`${(clock.now() / 1000).toFixed(3)} ${text}`);
	}
}
