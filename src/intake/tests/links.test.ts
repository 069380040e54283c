/**
Crowds on the port for links between hosts, which anybody can reach, and on the listeners for readiness and metrics.
*/
import * as buffer from 'node:buffer';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as msgpackr from 'msgpackr';
import * as ws from 'ws';
import * as systems from './system.js';

const timeout = 180_000;

async function openLink(system: systems.System): Promise<ws.WebSocket> {
	const socket = new ws.WebSocket(`ws://${system.host}:${system.ports.peer}/`, {perMessageDeflate: {threshold: 16_384}});
	socket.on('error', () => {
		// The host may refuse or close any of these connections.
	});
	await new Promise<void>(resolve => {
		socket.once('open', resolve);
		socket.once('close', () => {
			resolve();
		});
	});
	return socket;
}

/** Sends a frame over a link unless it was closed. */
function send(socket: ws.WebSocket, frame: Uint8Array): void {
	if (socket.readyState === ws.WebSocket.OPEN) {
		socket.send(frame, () => {
			// The host may close the link at any time.
		});
	}
}

// Guards against frames that are held as far as they have arrived.
test.test('large frames on the port for links leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	const frame = buffer.Buffer.alloc(60_000_000, 1);
	for (let index = 0; index < 6; index++) {
		const socket = await openLink(system);
		if (socket.readyState === ws.WebSocket.OPEN) {
			socket.send(frame, {compress: false}, () => {
				// The host may close the link at any time.
			});
		}
	}

	await timers.setTimeout(2000);
	await system.check(context);
});

// Guards against frames whose end never arrives.
test.test('frames that never end on the port for links leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	for (let index = 0; index < 60; index++) {
		const socket = system.connect(system.ports.peer);
		socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n');
		// A masked binary frame of 8,000,000 bytes, of which the last ones are missing.
		const header = buffer.Buffer.from([0x82, 0xFF, 0, 0, 0, 0, 0, 0x7A, 0x12, 0, 0, 0, 0, 0]);
		socket.write(buffer.Buffer.concat([header, buffer.Buffer.alloc(7_000_000, 1)]));
	}

	await system.check(context);
});

// Guards against a frame of few bytes that needs much memory once it is expanded.
test.test('compressed frames that expand on the port for links leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	const frame = buffer.Buffer.alloc(90_000_000);
	for (let index = 0; index < 4; index++) {
		send(await openLink(system), frame);
	}

	await timers.setTimeout(2000);
	await system.check(context);
});

// Guards against requests of links that accumulate while they wait, and replies that nobody takes.
test.test('many requests on the port for links leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	const frame = new msgpackr.Packr({sequential: true, mapsAsObjects: true}).pack({
		kind: 'run',
		id: 1,
		job: {
			id: 'q1',
			route: {
				name: 'd', database: 'd', service: 'ledgers', kind: 'primary', maximumAgeMs: 0, statementTimeoutMs: 60_000, targetMs: 500, priority: 1,
			},
			own: null,
			values: [],
			remainingMs: 60_000,
			spentMs: 0,
		},
		work: {
			id: 'q1', mode: 'read', text: `READ ${'x'.repeat(400_000)}`, prepared: null, parameters: '',
		},
	});
	const sockets = await Promise.all(Array.from({length: 24}, async () => openLink(system)));
	for (const socket of sockets) {
		for (let count = 0; count < 40; count++) {
			if (socket.readyState === ws.WebSocket.OPEN) {
				socket.send(frame, {compress: false}, () => {
					// The host may close the link at any time.
				});
			}
		}
	}

	await timers.setTimeout(2000);
	await system.check(context);
});

// Guards against probes and scrapes that use up the descriptors of callers.
test.test('silent and slow connections to the other listeners leave descriptors for callers', {timeout}, async context => {
	const system = await systems.System.start(context, {descriptors: 512});
	for (let index = 0; index < 240; index++) {
		system.connect(system.ports.readiness).write('GET / HTTP/1.1\r\nX: a');
		system.connect(system.ports.metrics);
		system.connect(system.ports.peer);
	}

	await system.check(context);
});

// Guards against bodies and replies of the listeners for readiness and metrics that accumulate.
test.test('requests without end to the readiness and metrics listeners leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	const requests = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2000);
	for (let index = 0; index < 20; index++) {
		for (const port of [system.ports.readiness, system.ports.metrics]) {
			const socket = system.connect(port);
			socket.pause();
			for (let count = 0; count < 10; count++) {
				socket.write(requests);
			}
		}
	}

	await system.check(context);
});
