/**
Generates the reference of settings and configuration in `docs/operators.md` from the descriptions and defaults in
`schema`.

With `--check` it writes nothing and exits with code 1 if the page is out of date.
*/
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';

const root = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..');
const page = path.join(root, 'docs', 'operators.md');

/** Reads the definitions of a schema file. */
async function readDefinitions(name) {
	const {definitions} = JSON.parse(await fs.readFile(path.join(root, 'schema', name), 'utf8'));
	return definitions;
}

/** Merges a property with the definition that it references; the property's own description and default take precedence. */
function resolve(definitions, property) {
	const name = property.$ref?.replace(/^.*#\/definitions\//v, '');
	return name === undefined ? property : {...definitions[name], ...property};
}

/** Lists the sections of an object: its own, if it has scalar keys, followed by those of nested objects. */
function listSections(definitions, name, definition) {
	const properties = Object.entries(definition.properties ?? {}).map(([key, property]) => [key, resolve(definitions, property)]);
	const keys = properties.filter(([, property]) => property.type !== 'object');
	const inner = properties.filter(([, property]) => property.type === 'object').flatMap(([key, property]) => {
		const prefix = name === '' ? key : `${name}.${key}`;
		return property.additionalProperties?.$ref
			? listSections(definitions, `${prefix}.NAME`, resolve(definitions, property.additionalProperties))
			: listSections(definitions, prefix, property);
	});
	return keys.length === 0 ? inner : [{name, definition, keys}, ...inner];
}

function describeType({type, enum: values, minimum, pattern, minLength}) {
	if (values) {
		return values.map(value => `\`${value}\``).join(', ');
	}

	if (pattern?.includes('[0-9]{1,5}')) {
		return 'IP:port';
	}

	return minimum === undefined || minLength !== undefined ? type : `${type} ≥ ${minimum}`;
}

function describeDefault(key, property, required) {
	if (required.includes(key)) {
		return 'required';
	}

	return property.default === '' ? 'empty' : `\`${property.default}\``;
}

function writeSection({name, definition, keys}) {
	return [
		`#### \`[${name}]\``,
		'',
		definition.description,
		'',
		'| key | value | default | meaning |',
		'| --- | --- | --- | --- |',
		...keys.map(([key, property]) => `| \`${key}\` | ${describeType(property)} | ${describeDefault(key, property, definition.required ?? [])} | ${property.description ?? ''} |`),
		'',
	].join('\n');
}

/** Replaces the text between the markers of a generated part. */
function replacePart(text, part, content) {
	const [begin, end] = [`<!-- generated: ${part} -->`, `<!-- end of generated: ${part} -->`];
	const [start, stop] = [text.indexOf(begin), text.indexOf(end)];
	if (start === -1 || stop < start) {
		throw new Error(`docs/operators.md lacks the markers of the generated part "${part}"`);
	}

	return `${text.slice(0, start + begin.length)}\n\n${content}\n${text.slice(stop)}`;
}

async function main() {
	const current = await fs.readFile(page, 'utf8');
	let text = current;
	const shared = await readDefinitions('settings.json');
	for (const [part, rootName] of [['settings', 'Settings'], ['configuration', 'Configuration'], ['entry', 'EntrySettings']]) {
		const definitions = {...shared, ...await readDefinitions(`${part}.json`)};
		text = replacePart(text, part, listSections(definitions, '', definitions[rootName]).map(section => writeSection(section)).join('\n'));
	}

	if (!process.argv.includes('--check')) {
		await fs.writeFile(page, text);
	} else if (text !== current) {
		console.error('docs/operators.md is out of date; run npm run generate');
		process.exitCode = 1;
	}
}

await main();
