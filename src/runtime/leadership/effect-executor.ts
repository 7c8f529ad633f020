/** Executes the leader's effects, and reports their outcomes to it. */
import { HTTP_STATUS } from '../http/http-status.js';
import type { Effect } from '../../core/leader/effects.js';
import type { Leader } from '../../core/leader/leader.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import { DIRECT_COMMANDS_TARGET, directCommandsBody, parseHeartbeat } from '../../wire/workers.js';
import { monotonicNow, sleep } from '../clock.js';
import type { CloudProviderClient } from '../cloud/cloud-provider-client.js';
import type { Logger } from '../logger.js';
import type { WorkerClient } from '../workers/worker-client.js';
import type { LeaderRecords } from './leader-records.js';

const DIRECT_COMMANDS_TIMEOUT_MS = 2500;
const SCALE_OUT_RETRY_DELAY_MS = 1200;

type EffectOf<K extends Effect['kind']> = Extract<Effect, { kind: K }>;

/** Dependencies of the effect executor. */
export interface EffectExecutorDependencies {
  records: LeaderRecords;
  cloud: CloudProviderClient;
  workers: WorkerClient;
  log: Logger;
  /** Whether the leadership has ended: outcomes are then dropped, except those of progress writes and deletions. */
  isStopped: () => boolean;
  /** An outcome was reported that may require new decisions. */
  onOutcome: () => void;
}

/** Executes the effects of one leadership. */
export class EffectExecutor {
  constructor(private readonly dependencies: EffectExecutorDependencies) {}

  /** Starts to execute an effect. */
  execute(leader: Leader, effect: Effect): void {
    switch (effect.kind) {
      case 'log':
        this.dependencies.log[effect.level](effect.fields, effect.text);
        return;
      case 'write-final-record':
        void this.writeFinalRecord(leader, effect);
        return;
      case 'read-final-record':
        void this.readFinalRecord(leader, effect);
        return;
      case 'write-progress':
        void this.writeProgress(leader, effect);
        return;
      case 'write-registry-page':
        void this.writeRegistryPage(leader, effect);
        return;
      case 'create-machines':
        void this.createMachines(leader, effect);
        return;
      case 'delete-machines':
        void this.deleteMachines(leader, effect);
        return;
      case 'send-direct-commands':
        void this.sendDirectCommands(leader, effect);
        return;
    }
  }

  private async writeFinalRecord(leader: Leader, effect: EffectOf<'write-final-record'>): Promise<void> {
    const { records, isStopped, onOutcome } = this.dependencies;
    const outcome = await records.writeFinalRecord(effect);
    if (isStopped()) return;
    leader.onFinalRecordWritten(effect.job, outcome, monotonicNow());
    if (outcome.kind === 'ok') onOutcome();
  }

  private async readFinalRecord(leader: Leader, { job }: EffectOf<'read-final-record'>): Promise<void> {
    const { records, isStopped, onOutcome } = this.dependencies;
    const state = await records.readFinalRecord(job);
    if (isStopped()) return;
    leader.onFinalRecordRead(job, state, monotonicNow());
    onOutcome();
  }

  private async writeProgress(leader: Leader, effect: EffectOf<'write-progress'>): Promise<void> {
    const { job, segment, bytes } = effect;
    const outcome = await this.dependencies.records.writeProgress(job, segment, bytes);
    if (outcome.kind === 'changed') leader.loadProgress(job, segment, outcome.bytes);
    leader.onProgressWritten(job, segment, bytes, outcome.kind === 'ok');
  }

  private async writeRegistryPage(leader: Leader, effect: EffectOf<'write-registry-page'>): Promise<void> {
    const { records, isStopped, onOutcome } = this.dependencies;
    const written = await records.writeRegistryPage(effect.page, effect.machines);
    if (isStopped()) return;
    leader.onRegistryPageWritten(effect.page, written);
    onOutcome();
  }

  private async createMachines(
    leader: Leader,
    { requestId, request }: EffectOf<'create-machines'>,
  ): Promise<void> {
    const { cloud, isStopped, onOutcome } = this.dependencies;
    const outcome = await cloud.createMachines({ requestId, ...request });
    if (isStopped()) return;
    if (outcome.kind === 'provisioned')
      leader.onScaleOutResult(requestId, { machines: outcome.machines }, monotonicNow());
    else if (outcome.kind === 'no-capacity')
      leader.onScaleOutResult(requestId, 'no-capacity', monotonicNow());
    else {
      await sleep(SCALE_OUT_RETRY_DELAY_MS);
      if (!isStopped()) leader.onScaleOutResult(requestId, 'retry', monotonicNow());
    }
    onOutcome();
  }

  private async deleteMachines(leader: Leader, { machines }: EffectOf<'delete-machines'>): Promise<void> {
    const { cloud, log, onOutcome } = this.dependencies;
    const ok = await cloud.deleteMachines(machines);
    leader.onDeletionResult(machines, ok, monotonicNow());
    log.info({ machines, ok }, 'machine deletion requested');
    onOutcome();
  }

  private async sendDirectCommands(leader: Leader, effect: EffectOf<'send-direct-commands'>): Promise<void> {
    const { workers, log, isStopped, onOutcome } = this.dependencies;
    const { machine, endpoint, incarnation, commands } = effect;
    const { term } = leader.leadership;
    const body = encode(directCommandsBody(term, incarnation, commands));
    const reply = await workers.request(endpoint, DIRECT_COMMANDS_TARGET, body, DIRECT_COMMANDS_TIMEOUT_MS);
    if (isStopped()) return;
    const answer = reply.ok ? reply.status : reply.cause;
    log.debug({ machine, incarnation, term, answer }, 'direct command request finished');
    if (reply.ok) {
      const heartbeat = parseHeartbeat(tryDecode(reply.body));
      const kind = reply.status === HTTP_STATUS.ok ? 'executed' : 'refused';
      const result = { kind, heartbeat: heartbeat.ok ? heartbeat.value : null } as const;
      leader.onDirectCommandResult(machine, commands, result, monotonicNow());
    } else {
      const result = { kind: reply.sent ? 'unknown' : 'unsent' } as const;
      leader.onDirectCommandResult(machine, commands, result, monotonicNow());
    }
    onOutcome();
  }
}
