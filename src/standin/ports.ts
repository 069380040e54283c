/**
Ports for processes that need the same one again after a restart, or that start to listen on it later.
*/
import * as net from 'node:net';
import * as random from '../core/random.js';

/** Bounds below the ephemeral port range, so that no outgoing connection takes a port before its process listens on it. */
const lowestPort = 15_000;
const highestPort = 31_000;
/** Number of ports after which earlier ones are drawn again: those of deployments that have ended. */
const maxDrawnPorts = 8000;

const source = new random.System();
const drawnPorts = new Set<number>();

/**
Finds a port of a loopback address on which no process listens at the moment, and that was not found before.

@example
```
const port = await ports.findFree('127.0.0.1');
```
*/
export async function findFree(address: string): Promise<number> {
	for (;;) {
		const port = source.integer(lowestPort, highestPort);
		if (!drawnPorts.has(port) && await isFree(address, port)) {
			if (drawnPorts.size >= maxDrawnPorts) {
				drawnPorts.clear();
			}

			drawnPorts.add(port);
			return port;
		}
	}
}

async function isFree(address: string, port: number): Promise<boolean> {
	const server = net.createServer();
	const isListening = await new Promise<boolean>(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, address, () => {
			resolve(true);
		});
	});
	await new Promise(resolve => {
		server.close(resolve);
	});
	return isListening;
}
