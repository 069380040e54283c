/**
The wire between clients, entry hosts and servers: lines of fields separated by spaces, terminated by CR LF.
*/
import * as buffer from 'node:buffer';

/** Splits a stream of bytes into lines. */
export class Splitter {
	#rest = '';

	push(chunk) {
		const lines = (this.#rest + buffer.Buffer.from(chunk).toString('latin1')).split('\r\n');
		this.#rest = lines.pop();
		return lines;
	}
}

/** Splits off the first `count` fields; the last element is the rest of the line. */
export function split(text, count) {
	const fields = text.split(' ');
	return fields.length <= count ? fields : [...fields.slice(0, count), fields.slice(count).join(' ')];
}

/** Compares positions by term, then by number. */
export function compare(one, other) {
	return one.term - other.term || one.number - other.number;
}

export function parsePosition(text) {
	const [term, number] = text.split('.').map(Number);
	return {term, number};
}
