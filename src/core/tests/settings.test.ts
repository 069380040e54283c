import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as mysql from 'mysql2/promise';
import * as settings from '../settings.js';
import * as deployment from '../../standin/deployment.js';

const server = '[service.ledgers.server.a]\naddress = 127.0.0.1:7101\nplace = puget-a\n';
const account = '[account.secretary]\nservice = ledgers\ntenant = cascade\npasswordHash = 14e65567abdb5135d0cfd9a70b3032c179a49ee7\n';
const valid = `[service.ledgers]\nslots = 2\n${server}${account}`;

function messageOf(text: string): string {
	const outcome = settings.parseConfiguration(text, 'site.ini');
	return Either.isLeft(outcome) ? outcome.left.message : '';
}

// Guards against invalid texts that were accepted, silently changed, or reported with the wrong line.
const cases: ReadonlyArray<readonly [guard: string, text: string, message: RegExp]> = [
	['an empty file is reported as empty', '\n; nothing\n', /site\.ini:1: the file is empty/v],
	['a repeated key is not silently overwritten', valid.replace('slots = 2', 'slots = 2\nslots = 3'), /site\.ini:3: \[service\.ledgers\] slots also stands in line 2/v],
	['a repeated section is not silently merged', `${valid}${server}`, /site\.ini:10: \[service\.ledgers\.server\.a\] also stands in line 3/v],
	['a port out of range is reported with its line, and no host connects to it', valid.replace(':7101', ':70000'), /site\.ini:4: \[service\.ledgers\.server\.a\] address "127\.0\.0\.1:70000" is not an IP address and port/v],
	['an unknown section is reported with its line', `${valid}[servise.x]\ny = 1\n`, /site\.ini:10: \[\] servise is not known/v],
	['an unknown key is reported with its line', valid.replace('slots', 'slotz'), /site\.ini:2: \[service\.ledgers\] slotz is not known/v],
	['a wrong type is reported with its line', valid.replace('slots = 2', 'slots = two'), /site\.ini:2: \[service\.ledgers\] slots must be integer/v],
	['true is not converted to 1', valid.replace('slots = 2', 'slots = true'), /slots must be integer/v],
	['null is not converted to 0', valid.replace('slots = 2', 'slots = null'), /slots must be integer/v],
	['a key without a value is not set to true', valid.replace('slots = 2', 'slots'), /site\.ini:2: \[service\.ledgers\] slots has no value/v],
	['an array is reported with its line', valid.replace('slots = 2', 'slots[] = 2'), /site\.ini:2: \[service\.ledgers\] slots\[\] is an array/v],
	['__proto__ is not silently skipped', valid.replace('slots = 2', '__proto__ = 2'), /site\.ini:2: .*reserved/v],
	['a section named __proto__ is rejected', `${valid}[service.__proto__]\nslots = 1\n`, /site\.ini:10: .*reserved/v],
	['a section named constructor is rejected', `${valid}[account.constructor]\ntenant = x\n`, /site\.ini:10: .*reserved/v],
	['a dot inside a name is rejected', valid.replace('server.a]', String.raw`server.a\.b]`), /site\.ini:3: .*holds the name/v],
	['a key that is also a section is not silently dropped', valid.replace('slots = 2', 'server = x'), /site\.ini:2: \[service\.ledgers\] server is the name of a section/v],
	['an unterminated section header is rejected', valid.replace('[service.ledgers]', '[service.ledgers'), /site\.ini:1: .*does not end with/v],
	['a value is not truncated at a comment character', valid.replace('slots = 2', 'password = a;b'), /site\.ini:2: .*double quotes/v],
	['an unterminated quote is rejected', valid.replace('slots = 2', 'password = "ab'), /site\.ini:2: .*begins with a quote/v],
	['an invalid escape in quotes is rejected', valid.replace('slots = 2', String.raw`password = "a\b\q"`), /site\.ini:2: .*not a valid quoted value/v],
	['a number in single quotes is not reformatted', valid.replace('slots = 2', 'password = \'1e3\''), /site\.ini:2: .*use double quotes/v],
	['a port is at most 65535', valid.replace('7101', '71010'), /site\.ini:4: \[service\.ledgers\.server\.a\] address .*not an IP address and port/v],
	['a time does not exceed the maximum delay of a timer', `${valid}[service.ledgers.class.x]\nkind = read\ndeadlineMs = 1e400\n`, /site\.ini:12: .*deadlineMs is more than/v],
	['a missing key is reported with its section', valid.replace('place = puget-a\n', ''), /site\.ini:3: \[service\.ledgers\.server\.a\] place is missing/v],
	['an account refers to an existing service', valid.replace('service = ledgers', 'service = toString'), /site\.ini:\d+: \[account\.secretary\] service/v],
];

for (const [guard, text, message] of cases) {
	test.test(`configuration: ${guard}`, () => {
		assert.match(messageOf(text), message);
	});
}

test.test('an inner section may precede its outer section, and a byte order mark is not part of a name', () => {
	// The ini library dropped all classes and servers that preceded [service.ledgers].
	const text = `\uFEFF${server}[service.ledgers.class.balance]\nkind = read\n[service.ledgers]\nslots = 3\n${account}`;
	const outcome = settings.parseConfiguration(text.replaceAll('\n', '\r\n'), 'site.ini');
	assert.ok(Either.isRight(outcome), JSON.stringify(outcome));
	assert.equal(outcome.right.service.ledgers?.slots, 3);
	assert.deepEqual(Object.keys(outcome.right.service.ledgers.class), ['balance']);
});

test.test('settings: an invalid URL and an invalid seed are reported with their lines', () => {
	const host = '[host]\nname = a\nplace = p\nregion = r\n[listen]\ncaller = 127.0.0.1:1\npeer = 127.0.0.1:2\nhttp = 127.0.0.1:3\n';
	const outcome = settings.parseSettings(`${host}[platform]\nurl = http://%zz/\n[peers]\nseeds = 127.0.0.1:1,host:2\n`, 'host.ini');
	assert.ok(Either.isLeft(outcome));
	assert.match(outcome.left.message, /host\.ini:10: \[platform\] url is not a URL/v);
	assert.match(outcome.left.message, /host\.ini:12: \[peers\] seeds "host:2"/v);
});

test.test('settings of an entry host are validated, and issues are reported with their lines', () => {
	const valid = '[host]\nname = a\nplace = p\nregion = r\n[listen]\ncaller = 127.0.0.1:1\npeer = 127.0.0.1:6\nreadiness = 127.0.0.1:2\nmetrics = 127.0.0.1:3\n[endpoints]\nstore = 127.0.0.1:4\nauthority = 127.0.0.1:5\n[shutdown]\ngraceS = 6\n';
	assert.ok(Either.isRight(settings.parseEntrySettings(valid, 'entry.ini')));
	const outcome = settings.parseEntrySettings(valid.replace('127.0.0.1:4', 'store:4').replace('graceS = 6', 'graceS = soon'), 'entry.ini');
	assert.ok(Either.isLeft(outcome));
	assert.match(outcome.left.message, /entry\.ini:\d+: \[/v);
});

test.test('an account or class with the name of an inherited property is rejected, and the host keeps running', async () => {
	const site = await deployment.Deployment.start({places: ['p-1', 'p-2', 'p-3'], hosts: ['p-1'], schema: []});
	const port = site.entries[0]?.ports.caller ?? 0;
	try {
		await assert.rejects(mysql.createConnection({
			host: '127.0.0.1', port, user: 'constructor', password: 'x',
		}), /access denied/v);
		const connection = await site.connect(0);
		await assert.rejects(connection.query('/* sycamorering class=constructor */ SELECT 1'), /unknown class/v);
		await connection.query('SELECT 1');
		await connection.end();
	} finally {
		await site.stop();
	}
});
