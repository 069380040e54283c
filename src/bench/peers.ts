/**
A child process of `capacity.js`: accepts links from other entry hosts and keeps them open.
*/
import process from 'node:process';
import * as clock from '../core/clock.js';
import * as messages from '../generated/messages.js';
import * as socket from '../peer/socket.js';

/** Message that the child sends once it listens. */
export type Listening = {readonly address: string};

const timeoutMs = 2000;

if (process.send) {
	const transport = new socket.Transport({
		clock: new clock.System(), timeoutMs, isMessage: messages.validateMessage, warn(message) {
			console.error(message);
		},
	});
	process.send({
		address: await transport.listen('127.0.0.1:0', link => {
			void link.next();
		}),
	});
	process.once('disconnect', () => {
		process.exit();
	});
}
