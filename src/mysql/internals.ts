/**
Internals of mysql2 that its type definitions omit. Only this folder uses them, and the version of mysql2 is pinned, so an
upgrade only needs to check this file and its test.
*/
import * as buffer from 'node:buffer';
import * as module from 'node:module';
import * as path from 'node:path';
import type * as net from 'node:net';
import * as position from '../core/position.js';

/** A packet as mysql2 reads and writes it. */
export type Packet = {
	offset: number;
	readInt8(): number;
	readString(length: number | undefined, encoding: string): string;
	writeInt8(value: number): void;
	writeInt16(value: number): void;
	writeLengthCodedNumber(value: number): void;
	writeLengthCodedString(value: string, encoding: string): void;
};

/** Handshake response of a caller. */
export type Handshake = {
	readonly user: string;
	readonly database: string | undefined;
	readonly address: string;
	readonly authPluginData1: Uint8Array;
	readonly authPluginData2: Uint8Array;
	readonly authToken: Uint8Array;
};

/** A column definition packet. */
export type ColumnDefinition = {
	catalog: string;
	schema: string;
	table: string;
	orgTable: string;
	name: string;
	orgName: string;
	characterSet: number;
	columnLength: number;
	columnType: number;
	flags: number;
	decimals: number;
};

type ErrorPacket = {message: string; code: number};

/** The server side of one mysql2 connection. */
export type ServerConnection = {
	readonly stream: net.Socket;
	readonly clientHelloReply?: {readonly clientFlags: number};
	sequenceId: number;
	_resetSequenceId(): void;
	writePacket(packet: Packet): void;
	writeOk(content?: {affectedRows?: number; insertId?: number; serverStatus?: number}): void;
	writeError(content: ErrorPacket): void;
	writeColumns(columns: ColumnDefinition[]): void;
	writeTextRow(row: Array<string | Uint8Array | null>): void;
	writeEof(warnings?: number, status?: number): void;
	serverHandshake(options: {
		protocolVersion: number;
		serverVersion: string;
		connectionId: number;
		statusFlags: number;
		characterSet: number;
		capabilityFlags: number;
		authCallback: (handshake: Handshake, done: (fault: null, refused?: ErrorPacket) => void) => void;
	}): void;
	on(event: 'packet', listener: (packet: Packet, known: boolean, command: number) => void): void;
	on(event: 'error', listener: (error: Error) => void): void;
	on(event: string, listener: () => void): void;
};

/** Command codes of the protocol. */
export const commands = {
	quit: 1, initDb: 2, query: 3, ping: 14, statementPrepare: 22, resetConnection: 31,
} as const;

/** Capability flags of the protocol. */
export const capabilities = {
	longPassword: 0x1,
	foundRows: 0x2,
	longFlag: 0x4,
	connectWithDb: 0x8,
	protocol41: 0x2_00,
	transactions: 0x20_00,
	secureConnection: 0x80_00,
	pluginAuth: 0x8_00_00,
	sessionTrack: 0x80_00_00,
} as const;

const statusAutocommit = 0x2;
const statusSessionStateChanged = 0x40_00;
const sessionTrackGtids = 3;

type PacketConstructor = new (id: number, buffer: Uint8Array, start: number, end: number) => Packet;
const load = module.createRequire(import.meta.url);
// Resolved through package.json, because mysql2 does not export its packet class.
const packets = {Packet: load(path.join(path.dirname(load.resolve('mysql2/package.json')), 'lib/packets/packet.js')) as PacketConstructor};

/**
Creates an OK packet whose session state contains a commit position (SESSION_TRACK_GTIDS). The OK packet of mysql2 does
not support session state.
*/
export function createOkPacket(affectedRows: number, insertId: number, committed: position.Position): Packet {
	const text = position.format(committed);
	const trackerLength = text.length + 2;
	const maxFixedLength = 64;
	const bytes = buffer.Buffer.alloc(maxFixedLength + text.length);
	const packet = new packets.Packet(0, bytes, 0, bytes.length);
	packet.offset = 4;
	packet.writeInt8(0);
	packet.writeLengthCodedNumber(affectedRows);
	packet.writeLengthCodedNumber(insertId);
	packet.writeInt16(statusAutocommit + statusSessionStateChanged);
	packet.writeInt16(0);
	packet.writeLengthCodedString('', 'utf8');
	packet.writeLengthCodedNumber(trackerLength + 2);
	packet.writeInt8(sessionTrackGtids);
	packet.writeLengthCodedNumber(trackerLength);
	packet.writeInt8(0);
	packet.writeLengthCodedString(text, 'utf8');
	return new packets.Packet(0, bytes.subarray(0, packet.offset), 0, packet.offset);
}
