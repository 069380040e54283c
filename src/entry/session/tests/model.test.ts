import * as assert from 'node:assert/strict';
import process from 'node:process';
import * as test from 'node:test';
import * as fc from 'fast-check';
import type * as types from '../../../generated/types.js';
import type * as callers from '../../tests/fake-caller.js';
import * as fakes from './fake-services.js';

/** What happens next to one session and the two services that its route may lead to. */
type Step =
	| {readonly kind: 'move'; readonly service: fakes.Name | 'none'; readonly route: types.RouteKind}
	| {readonly kind: 'write' | 'read' | 'read-transaction'}
	/** A transaction that writes; the route moves before its COMMIT, to `service`. */
	| {readonly kind: 'transaction'; readonly service: fakes.Name}
	| {readonly kind: 'lag'; readonly service: fakes.Name; readonly isCut: boolean}
	| {readonly kind: 'promotion'; readonly service: fakes.Name};

const seed = Number(process.env.MOVES_SEED ?? 5353);
const runCount = Number(process.env.MOVES_RUNS ?? 100);

const anyService = fc.constantFrom<fakes.Name>('ledgers', 'orders');
const routeKind = fc.constantFrom<types.RouteKind>('session', 'session', 'primary', 'aged');
const step: fc.Arbitrary<Step> = fc.oneof(
	{weight: 4, arbitrary: fc.record({kind: fc.constant('move' as const), service: fc.constantFrom<fakes.Name | 'none'>('ledgers', 'ledgers', 'orders', 'orders', 'none'), route: routeKind})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('write' as const)})},
	{weight: 4, arbitrary: fc.record({kind: fc.constantFrom('read' as const, 'read-transaction' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('transaction' as const), service: anyService})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('lag' as const), service: anyService, isCut: fc.constantFrom(true, true, false)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('promotion' as const), service: anyService})},
);

/** A run of steps, which keeps what the session was told is committed. */
class Run {
	/** Number of reads whose log was checked. */
	checked = 0;
	readonly #services = new fakes.Services();
	readonly #committed: Readonly<Record<fakes.Name, string[]>> = {ledgers: [], orders: []};
	#client!: callers.Caller;
	#service: fakes.Name | 'none' = 'ledgers';
	#route: types.RouteKind = 'session';

	async run(steps: readonly Step[]): Promise<void> {
		await this.#services.start();
		this.#client = await this.#services.open();
		for (const next of steps) {
			await this.#apply(next);
		}

		await this.#services.stop();
	}

	async #apply(next: Step): Promise<void> {
		switch (next.kind) {
			case 'move': {
				this.#move(next.service, next.route);
				break;
			}

			case 'write': {
				const service = this.#service;
				const reply = await this.#services.request(this.#client, 'WRITE 1 a');
				this.#record(service, reply.refusal === null ? [reply.signature] : []);
				break;
			}

			case 'read': {
				await this.#read();
				break;
			}

			case 'read-transaction': {
				if (await this.#request('BEGIN READ')) {
					await this.#read();
					await this.#request('COMMIT');
				}

				break;
			}

			case 'transaction': {
				await this.#runTransaction(next.service);
				break;
			}

			case 'lag': {
				this.#lag(next.service, next.isCut);
				break;
			}

			case 'promotion': {
				await this.#promote(next.service);
				break;
			}
		}
	}

	#move(to: fakes.Name | 'none', route: types.RouteKind): void {
		this.#service = to;
		this.#route = route;
		this.#services.lead(to, route);
	}

	async #runTransaction(movesTo: fakes.Name): Promise<void> {
		const service = this.#service;
		if (!await this.#request('BEGIN')) {
			return;
		}

		const written = await this.#services.request(this.#client, 'WRITE 1 a');
		this.#move(movesTo, this.#route);
		const ended = await this.#services.request(this.#client, 'COMMIT');
		this.#record(service, ended.refusal === null && written.refusal === null ? [written.signature, ended.signature] : []);
	}

	/** Reads, and checks that the log has what the session was told is committed there, if the route promises it. */
	async #read(): Promise<void> {
		const service = this.#service;
		const reply = await this.#services.request(this.#client, 'READ 1');
		if (reply.refusal !== null || service === 'none' || this.#route === 'aged') {
			return;
		}

		const log = this.#services.lastExecution(service)?.log ?? [];
		this.checked++;
		assert.deepEqual(this.#committed[service].filter(id => !log.includes(id)), [], `a read on a ${this.#route} route lacks commits of its session`);
	}

	async #request(text: string): Promise<boolean> {
		const {refusal} = await this.#services.request(this.#client, text);
		return refusal === null;
	}

	#record(service: fakes.Name | 'none', signatures: readonly string[]): void {
		if (service !== 'none') {
			this.#committed[service].push(...signatures.map(signature => signature.split('.')[1] ?? ''));
		}
	}

	/** The replica `b`, the nearest server, receives nothing, or what it lacks. The other one always receives. */
	#lag(service: fakes.Name, isCut: boolean): void {
		const {cluster} = this.#services.all[service];
		cluster.get('b').isReplicationCut = isCut;
		const primary = cluster.servers.find(({role}) => role === 'primary');
		if (primary) {
			cluster.isReplicated(primary, primary.index);
		}
	}

	async #promote(service: fakes.Name): Promise<void> {
		const {cluster} = this.#services.all[service];
		cluster.promote(cluster.get('a').role === 'primary' ? 'c' : 'a');
		await this.#services.time.advance(promotionMs);
	}
}

const promotionMs = 600;

// Guards against a promise that is lost when versions of the configuration move a session between services (review case 11).
test.test('whatever a session was told is committed is in the log of its later reads, wherever its route has led in between', async () => {
	let checked = 0;
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 20, maxLength: 60}), async steps => {
		const run = new Run();
		await run.run(steps);
		checked += run.checked;
	}), {seed, numRuns: runCount, includeErrorInReport: true});
	assert.ok(checked > runCount, `only ${checked} reads were checked`);
});
