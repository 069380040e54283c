/**
Bounds on what a session keeps: values and prepared statements.
*/
import * as buffer from 'node:buffer';

/** Size of what a session keeps: characters of names and texts with `entryBytes` for each entry, and entries. */
export type Size = {readonly bytes: number; readonly entries: number};

/** Room for a text of the longest message, 1 MiB, and for as many ordinary ones besides. */
export const maxBytes = 1_310_720;
export const maxEntries = 2000;
/** Memory for an entry besides its texts. */
const entryBytes = 128;
/** V8 copies shorter substrings; longer ones keep the string alive from which they were taken. */
const minSlicedLength = 13;

/**
Size of an entry.

@example
```
keeping.measure('zone', 'east'); //=> 136
```
*/
export function measure(name: string, text: string): number {
	return name.length + text.length + entryBytes;
}

/** Whether a session may keep this much. */
export function isWithin({bytes, entries}: Size): boolean {
	return bytes <= maxBytes && entries <= maxEntries;
}

/**
Copies a Latin-1 text, so that it doesn't keep alive the input from which it was taken: up to 64 KB for a value of some
bytes.
*/
export function detach(text: string): string {
	return text.length < minSlicedLength ? text : buffer.Buffer.from(text, 'latin1').toString('latin1');
}
