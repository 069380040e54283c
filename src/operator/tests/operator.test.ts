import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as fastCheck from 'fast-check';
import * as clock from '../../core/clock.js';
import type * as errors from '../../core/errors.js';
import * as settings from '../../core/settings.js';
import * as http from '../../store/http.js';
import * as platform from '../../standin/platform.js';
import * as operator from '../operator.js';

const seed = 20_260_101;
const name = fastCheck.string({unit: fastCheck.constantFrom(...'abcxyz019-'), minLength: 1, maxLength: 8});
const classes = fastCheck.record({
	kind: fastCheck.constantFrom('read' as const, 'write' as const),
	idempotent: fastCheck.boolean(),
	acknowledgement: fastCheck.constantFrom('durable' as const, 'fenced' as const),
	freshness: fastCheck.constantFrom('strict' as const, 'session' as const),
	maximumAgeMs: fastCheck.nat(1_000_000),
	deadlineMs: fastCheck.integer({min: 1, max: 1_000_000}),
	queueLimit: fastCheck.nat(1000),
});
const passwords = fastCheck.oneof(fastCheck.string({unit: 'binary'}), fastCheck.constantFrom('true', 'null', '1e3', '"', '\'a\'', 'a;b#c', String.raw`x\\y`, ' [x] ', 'a=b\nc'));
const services = fastCheck.record({
	connections: fastCheck.integer({min: 4, max: 99}),
	slots: fastCheck.integer({min: 1, max: 9}),
	user: passwords,
	password: passwords,
	server: fastCheck.dictionary(name, fastCheck.record({place: name, leaving: fastCheck.boolean()}), {minKeys: 1, maxKeys: 4, noNullPrototype: true}),
	class: fastCheck.dictionary(name, classes, {maxKeys: 3, noNullPrototype: true}),
});
const sites = fastCheck.dictionary(name, services, {minKeys: 1, maxKeys: 3, noNullPrototype: true});

type Site = typeof sites extends fastCheck.Arbitrary<infer T> ? T : never;

/** Declares a site in the order that `reorder` returns. */
function declare(site: Site, reorder: <T>(list: T[]) => T[]): operator.declaration.Site {
	const declared = new operator.declaration.Site();
	for (const [key, {server, class: requestClasses, ...content}] of reorder(Object.entries(site))) {
		declared.account(`user-${key}`, {service: key, tenant: 't', password: content.password});
		const group = declared.service(key, content);
		for (const [index, [innerName, value]] of reorder([...Object.entries(server).entries()])) {
			group.server(innerName, {...value, address: `127.0.0.1:${index + 1}`});
		}

		for (const [innerName, value] of reorder(Object.entries(requestClasses))) {
			group.class(innerName, value);
		}
	}

	return declared;
}

/** Copies data with ordinary prototypes, because `deepEqual` compares prototypes too. */
function withPrototypes(value: unknown): unknown {
	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, withPrototypes(inner)]))
		: value;
}

function valueOf<T>(outcome: errors.Outcome<T>): T {
	assert.ok(Either.isRight(outcome), JSON.stringify(outcome));
	return outcome.right;
}

function messageOf(outcome: errors.Outcome<unknown>, kind: errors.Kind): string {
	assert.ok(Either.isLeft(outcome));
	assert.equal(outcome.left.kind, kind, outcome.left.message);
	return outcome.left.message;
}

test.test('a printed site parses to the same data, whatever characters its values contain', () => {
	fastCheck.assert(fastCheck.property(sites, site => {
		const {data} = declare(site, list => list);
		const text = valueOf(operator.print.print(data));
		assert.deepEqual(valueOf(settings.parseConfiguration(text, 'site.ini')), withPrototypes(data));
	}), {seed, numRuns: 300});
});

test.test('the order of declarations does not change the printed text, so that reviews show only real changes', () => {
	fastCheck.assert(fastCheck.property(sites, site => {
		const forward = valueOf(operator.print.print(declare(site, list => list).data));
		assert.equal(valueOf(operator.print.print(declare(site, list => list.toReversed()).data)), forward);
	}), {seed, numRuns: 100});
});

test.test('a declaration that entry hosts would reject is not printed', () => {
	const site = new operator.declaration.Site();
	site.service('ledgers').server('__proto__', {address: '127.0.0.1:1', place: 'p'});
	assert.match(messageOf(operator.print.print(site.data), 'settings'), /reserved/v);
});

function siteText(slots: number, password: string): string {
	const site = new operator.declaration.Site();
	site.service('ledgers', {slots, password}).server('a', {address: '127.0.0.1:1', place: 'p'});
	site.account('secretary', {service: 'ledgers', tenant: 't', password});
	return valueOf(operator.print.print(site.data));
}

test.test('a difference includes the section and key but no password or hash', () => {
	const changes = valueOf(operator.change.diff({text: siteText(3, 'old'), file: 'store'}, {text: siteText(4, 'new'), file: 'site.ini'}));
	assert.equal(operator.change.describe(changes), [
		'~ [account.secretary] passwordHash: (hidden) -> (hidden)',
		'~ [service.ledgers] password: (hidden) -> (hidden)',
		'~ [service.ledgers] slots: 3 -> 4',
	].join('\n'));
	assert.deepEqual(valueOf(operator.change.diff({text: siteText(2, 'x'), file: 'a'}, {text: siteText(2, 'x'), file: 'b'})), []);
});

type Fixture = {standin: platform.Platform; apply: (text: string, expected: number) => Promise<errors.Outcome<operator.publish.Applied>>};

async function withPlatform(body: (fixture: Fixture) => Promise<void>): Promise<void> {
	const standin = new platform.Platform();
	const url = await standin.start('127.0.0.1', 0);
	const store = new http.Store({url, timeoutMs: 500, watchMs: 500});
	try {
		await body({standin, apply: async (text, expected) => operator.publish.apply({platform: store, clock: new clock.System()}, {text, file: 'site.ini'}, expected)});
	} finally {
		standin.stop();
	}
}

test.test('of concurrent changes with the same expected version, one is applied and the others fail with a conflict', async () => {
	await withPlatform(async ({standin, apply}) => {
		const outcomes = await Promise.all([2, 3, 4, 5].map(async slots => apply(siteText(slots, 'x'), 0)));
		assert.equal(outcomes.filter(outcome => Either.isRight(outcome)).length, 1);
		for (const outcome of outcomes.filter(found => Either.isLeft(found))) {
			assert.match(messageOf(outcome, 'conflict'), /expected version 0, but version 1 is present and holds another text/v);
		}

		assert.equal(standin.counts.writes, 4);
	});
});

test.test('a change that took effect is not reported as a failure if the response is lost', async () => {
	await withPlatform(async ({standin, apply}) => {
		standin.faults.isLosingAnswers = true;
		assert.deepEqual(valueOf(await apply(siteText(2, 'x'), 0)), {version: 1, confirmation: 'read-back'});
	});
});

/** A store that loses the response to an update and returns `current` when it is read back. */
class LossyStore extends http.Store {
	readonly #current: {version: number; value: string};

	constructor(current: {version: number; value: string}) {
		super({url: 'http://127.0.0.1:1/', timeoutMs: 1, watchMs: 1});
		this.#current = current;
	}

	override async update(): Promise<errors.Outcome<never>> {
		return Either.left({
			kind: 'store', step: 'store', peer: 'test', message: 'timeout', code: 0,
		});
	}

	override async read(key: string): Promise<errors.Outcome<{key: string; version: number; value: string}>> {
		return Either.right({key, ...this.#current});
	}
}

test.test('after a lost response, success or failure is reported only if the current version proves it', async () => {
	const text = siteText(2, 'x');
	const cases: ReadonlyArray<readonly [version: number, value: string, kind: errors.Kind, message: RegExp]> = [
		[7, 'other', 'store', /version 7 is present, so the configuration is not applied.*may yet arrive/v],
		[8, 'other', 'conflict', /version 8 is present, and holds another text/v],
		[9, 'other', 'outcome-unknown', /may have been version 8 and been replaced/v],
		[9, text, 'outcome-unknown', /version 9 is present, and holds this very text/v],
		[3, 'other', 'conflict', /older than the expected 7/v],
	];
	for (const [version, value, kind, message] of cases) {
		const store = new LossyStore({version, value});
		assert.match(messageOf(await operator.publish.apply({platform: store, clock: new clock.System()}, {text, file: 'f'}, 7), kind), message);
	}
});

test.test('during an outage of the store, the message says that the outcome is unknown and that a retry is safe', async () => {
	await withPlatform(async ({standin, apply}) => {
		standin.faults.isDown = true;
		assert.match(messageOf(await apply(siteText(2, 'x'), 0), 'store'), /gave no answer .* is not known.*safe to repeat/v);
	});
});

test.test('an invalid configuration is not sent to the store', async () => {
	await withPlatform(async ({standin, apply}) => {
		messageOf(await apply('[service.x]\n', 0), 'settings');
		assert.equal(standin.counts.writes, 0);
	});
});
