/**
The lines of an INI text: where each section and key stands, and faults that the `ini` library passes over in silence.
*/

/** A key, or the header of a section if `key` is undefined, and its line, counted from 1. */
export type Line = {readonly number: number; readonly section: readonly string[]; readonly key: string | undefined};

/** A fault at a line. */
export type Fault = Line & {readonly message: string};

/** The lines that carry something, and their faults. */
export type Layout = {readonly lines: readonly Line[]; readonly faults: readonly Fault[]};

const breakPattern = /\r\n|\r|\n/v;
const headerPattern = /^\[(?<name>[^\]]*)\]\s*$/v;
const namePattern = /^[A-Za-z0-9_\-]{1,64}$/v;

/**
Reads the layout of an INI text.

A name that every object has, such as `__proto__` or `constructor`, is refused, because looking it up would find
something that nobody declared. A name with a dot or a backslash is refused, because the library splits names there.

@example
```
const {faults} = lines.read('[host]\nname = a\nname = b\n');
//=> [{number: 3, section: ['host'], key: 'name', message: 'also stands in line 2'}]
```
*/
export function read(text: string): Layout {
	const found: Line[] = [];
	const faults: Fault[] = [];
	const seen = new Map<string, number>();
	let section: readonly string[] = [];
	for (const [index, content] of stripMark(text).split(breakPattern).entries()) {
		const trimmed = content.trim();
		if (trimmed === '' || trimmed.startsWith(';') || trimmed.startsWith('#')) {
			continue;
		}

		const header = headerPattern.exec(content)?.groups?.name;
		const equals = content.indexOf('=');
		const key = header === undefined ? content.slice(0, equals === -1 ? undefined : equals).trim() : undefined;
		section = header === undefined ? section : header.trim().split('.');
		const line = {number: index + 1, section, key};
		const message = key === undefined
			? judgeSection(section)
			: judgeKey(key, equals === -1 ? undefined : content.slice(equals + 1).trim());
		const identity = JSON.stringify([section, key]);
		const earlier = seen.get(identity);
		found.push(line);
		if (message !== undefined) {
			faults.push({...line, message});
		} else if (earlier === undefined) {
			seen.set(identity, line.number);
		} else {
			faults.push({...line, message: `also stands in line ${earlier}`});
		}
	}

	return {lines: found, faults: [...faults, ...findClashes(found)]};
}

/**
The same text with outer sections before inner ones. The library drops the inner sections that it met before their
outer one.

@example
```
lines.order('[a.b]\nx = 1\n[a]\ny = 2'); //=> '[a]\ny = 2\n[a.b]\nx = 1'
```
*/
export function order(text: string): string {
	const blocks: Array<{depth: number; content: string[]}> = [{depth: 0, content: []}];
	for (const content of stripMark(text).split(breakPattern)) {
		const header = headerPattern.exec(content)?.groups?.name;
		if (header !== undefined) {
			blocks.push({depth: header.split('.').length, content: []});
		}

		blocks.at(-1)?.content.push(content);
	}

	return blocks.toSorted((left, right) => left.depth - right.depth).flatMap(({content}) => content).join('\n');
}

/** The byte order mark that some editors write. */
function stripMark(text: string): string {
	return text.startsWith('\uFEFF') ? text.slice(1) : text;
}

function judgeSection(section: readonly string[]): string | undefined {
	const wrong = section.find(name => !isName(name));
	return wrong === undefined ? undefined : `holds the name "${wrong}", which is reserved or not 1 to 64 letters, digits, _ or -`;
}

function judgeKey(key: string, value: string | undefined): string | undefined {
	if (key.startsWith('[')) {
		return 'is a section header that does not end with ]';
	}

	if (key.endsWith('[]')) {
		return 'is an array; no key takes more than one value';
	}

	if (!isName(key)) {
		return 'is not a name, or is a reserved one';
	}

	return value === undefined ? 'has no value; write key = value' : judgeValue(value);
}

/** Faults of a value, which is not repeated in the message since it may be a password. */
function judgeValue(value: string): string | undefined {
	const quote = value.at(0);
	if (quote !== '"' && quote !== '\'') {
		// A comment after a value needs a space before it; else the value was probably meant to go on.
		return /(?<!\\)[^\s\\][;#]/v.test(value) ? 'holds ; or # that would begin a comment; put the value in double quotes' : undefined;
	}

	if (value.length < 2 || value.at(-1) !== quote) {
		return 'begins with a quote and does not end with it';
	}

	const inner = parseJson(quote === '"' ? value : value.slice(1, -1));
	if (quote === '"') {
		return typeof inner === 'string' ? undefined : 'is not a valid quoted value; inside double quotes write \\" and \\\\';
	}

	// The library reads the inside of single quotes as JSON where it can, so '1e3' would become 1000.
	return inner === undefined ? undefined : 'would change its meaning in single quotes; use double quotes';
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

function isName(name: string): boolean {
	return namePattern.test(name) && !(name in Object.prototype);
}

/** Keys that are a section as well; the library drops them. */
function findClashes(found: readonly Line[]): Fault[] {
	const sections = new Set<string>();
	for (const {section} of found) {
		for (let length = 1; length <= section.length; length++) {
			sections.add(JSON.stringify(section.slice(0, length)));
		}
	}

	return found
		.filter(({section, key}) => key !== undefined && sections.has(JSON.stringify([...section, key])))
		.map(line => ({...line, message: 'is the name of a section and can not be a key'}));
}
