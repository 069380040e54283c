/**
Reads the input files of the commands.
*/
import * as fs from 'node:fs/promises';
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../core/errors.js';

/** Reads a text file. Errors: `settings`, which names the file. */
export async function read(file: string): Promise<errors.Outcome<string>> {
	try {
		const text = new TextDecoder('utf8', {fatal: true}).decode(await fs.readFile(file));
		return Either.right(text);
	} catch (error) {
		const reason = error instanceof TypeError ? 'the file is not UTF-8 text' : String(error instanceof Error ? error.message : error);
		return errors.fail('settings', 'start', file, `${file}: ${reason}`);
	}
}
