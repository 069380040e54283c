/**
The process of an entry host on the users' platform. The command line and the daemon are thin shells around it.
*/
import process from 'node:process';
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../core/clock.js';
import type * as errors from '../core/errors.js';
import * as random from '../core/random.js';
import * as settings from '../core/settings.js';
import * as entry from '../entry/entry.js';
import * as journal from '../entry/journal.js';
import type * as types from '../generated/types.js';
import type * as metrics from '../host/metrics.js';
import * as authority from '../platform/authority.js';
import * as backend from '../platform/backend.js';
import * as deferred from '../peer/deferred.js';
import type * as link from '../peer/link.js';
import * as caller from '../platform/caller.js';
import * as http from '../platform/http.js';
import * as objects from '../platform/objects.js';
import * as exit from './exit.js';
import * as input from './input.js';

/**
Time in ms after the start at which the metrics libraries are loaded. Loading them takes a quarter of a second on a small
host, and after a restart callers wait.
*/
const metricsDelayMs = 3000;

/** Time in ms without a pong after which a link to another host is closed: many round trips between regions. */
const linkTimeoutMs = 800;

/** Runs an entry host with the settings of a file. */
export async function run(file: string): Promise<void> {
	const outcome = await load(file);
	if (Either.isLeft(outcome)) {
		exit.report(outcome.left);
		return;
	}

	const parsed = outcome.right;
	const time = new clock.System();
	const record = new journal.Journal(parsed.log.level, parsed.host.name, time);
	const clients = [new http.Client(parsed.endpoints.store), new http.Client(parsed.endpoints.authority)] as const;
	const host = new entry.Entry({
		settings: parsed,
		clock: time,
		random: new random.System(),
		decisions: record,
		async metrics() {
			const found = await measure(record);
			return found.text();
		},
		store: new objects.Objects(clients[0]),
		authority: new authority.Authority(clients[1]),
		transport: new deferred.Transport(async () => loadTransport(time, record)),
		connect: registration => new backend.Server(registration, time),
		listener: accept => new caller.Listener(accept),
	});
	process.once('SIGTERM', () => {
		void stop(host, clients);
	});
	// Nothing in the settings changes while a process runs; a file that can't be read is reported.
	process.on('SIGHUP', () => {
		void check(file, record);
	});
	await host.start();
	await time.sleep(metricsDelayMs);
	await measure(record);
}

async function loadTransport(time: clock.Clock, record: journal.Journal): Promise<link.Transport<types.EntryMessage>> {
	const [socket, messages] = await Promise.all([import('../peer/socket.js'), import('../generated/forwarding.js')]);
	return new socket.Transport({
		clock: time,
		timeoutMs: linkTimeoutMs,
		isMessage: messages.validateEntryMessage,
		warn(_message, {reason}) {
			record.record('link-closed', {reason});
		},
	});
}

let measured: metrics.Metrics | undefined;

/** The metrics of this process, made when they are first needed. */
async function measure(record: journal.Journal): Promise<metrics.Metrics> {
	const loaded = await import('../host/metrics.js');
	if (!measured) {
		measured = new loaded.Metrics();
		record.attach(measured);
	}

	return measured;
}

async function stop(host: entry.Entry, clients: readonly http.Client[]): Promise<void> {
	await host.drain();
	for (const client of clients) {
		client.close();
	}
}

async function check(file: string, record: journal.Journal): Promise<void> {
	const outcome = await load(file);
	record.record('settings-reloaded', {
		file, result: Either.isRight(outcome) ? 'valid; values apply from the next start' : outcome.left.message,
	});
}

async function load(file: string): Promise<errors.Outcome<types.EntrySettings>> {
	const text = await input.read(file);
	return Either.isLeft(text) ? text : settings.parseEntrySettings(text.right, file);
}
