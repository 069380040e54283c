import * as assert from 'node:assert/strict';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

const sourceFolder = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..', '..', '..', 'src');
/** Names that belong to the users' platform, in code or text. */
const platformNames = new RegExp([
	'MINLSN|STEPDOWN|DATAROW|WRONGNODE|CONNLIMIT|NOPREPARED|INDOUBT|READONLY',
	'databaseName|maxStaleness|bounded_staleness|read_your_writes|targetLatency|txIdle|syncReplicas|maxConnections|dbRole',
	String.raw`storeRevision|waitMs=|\/objects\/|\/promotion(?!\.js)|[Xx]-[Ll]ease-[Hh]older|[Xx]-[Ff]encing-[Tt]oken|[Ss]tore-[Ee]ra|tombstone`,
].join('|'), 'v');
/** The adapter, the code generated from its schema, the client of the store API, and the stand-ins of the platform. */
const exemptPattern = /^(?:platform|generated|store|standin|soak)\//v;

test.test('code outside src/platform contains no names of the users\' platform', async () => {
	const files = await fs.readdir(sourceFolder, {recursive: true});
	const found: string[] = [];
	for (const file of files.filter(name => name.endsWith('.ts') && !exemptPattern.test(name))) {
		const text = await fs.readFile(path.join(sourceFolder, file), 'utf8');
		const lines = text.split('\n');
		found.push(...lines.filter(line => platformNames.test(line)).map(line => `${file}: ${line.trim()}`));
	}

	assert.deepEqual(found, []);
});
