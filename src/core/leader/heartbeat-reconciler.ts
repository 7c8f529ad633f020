/** Processes workers' heartbeats and the results of direct commands, and updates the leader's state by them. */
import type { Machine } from '../machine.js';
import { attemptKey, sameTaskStatuses } from '../task-status.js';
import type { Heartbeat, UnchangedHeartbeat } from '../heartbeat.js';
import type { Command } from '../worker-command.js';
import { equalUint64, type MachineId, type MonotonicTime } from '../units.js';
import type { DirectCommandResult } from './effects.js';
import type { LeaderState } from './leader-state.js';
import { commandsForMachine } from './machine-commands.js';
import type { MachinePool } from './machine-pool.js';
import { OneWayPartitionDetector } from './one-way-partition-detector.js';
import { mayHaveReachedWorker } from './placement-lifecycle.js';
import { TaskReconciler, type HeartbeatSource } from './task-reconciler.js';

/** Reconciles the state that workers report with the state that the leader wants. */
export class HeartbeatReconciler {
  private readonly taskReconciler: TaskReconciler;
  private readonly oneWayPartitionDetector: OneWayPartitionDetector;

  constructor(
    private readonly state: LeaderState,
    machinePool: MachinePool,
  ) {
    this.taskReconciler = new TaskReconciler(state, machinePool);
    this.oneWayPartitionDetector = new OneWayPartitionDetector(state, machinePool);
  }

  /** Processes a heartbeat and returns the commands for the reply. */
  onHeartbeat(heartbeat: Heartbeat, now: MonotonicTime): Command[] {
    const machine = this.processHeartbeat(heartbeat, 'heartbeat', now);
    if (!machine) return [];
    this.oneWayPartitionDetector.recordReply(machine, now);
    // The worker has not adopted this leader's fencing token yet, so an earlier leader's command could still be
    // executed. This reply carries the new token.
    if (!machine.reconciled || machine.inSync) return [];
    const commands = commandsForMachine(machine, this.state.jobs, now);
    machine.inSync = commands.length === 0 && hasNothingPending(machine);
    for (const { op, job, index } of commands) {
      const placement = op === 'start' ? this.state.jobs.get(job)?.placements.get(index) : undefined;
      if (placement)
        placement.startSentInReplyTo = { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence };
    }
    this.state.machinesWithPendingCommands.delete(machine);
    this.state.decisionLog.recordCommandsSent(machine, commands, {
      via: 'heartbeat',
      sequence: heartbeat.sequence,
    });
    return commands;
  }

  /**
   * Processes a heartbeat with the same content as one that was processed in full and replied to without commands.
   * Returns false if the next heartbeat must be sent in full, as for every machine that is not in sync.
   */
  onUnchangedHeartbeat(unchanged: UnchangedHeartbeat, now: MonotonicTime): boolean {
    const machine = this.state.machines.get(unchanged.machine);
    if (!machine) return false;
    const last = machine.lastHeartbeat;
    if (last.receivedAt === null || !equalUint64(unchanged.incarnation, last.incarnation)) return false;
    // A newer heartbeat arrived first, so this one does not show that the machine is alive now.
    if (!(unchanged.sequence > last.sequence)) return machine.inSync;
    last.receivedAt = now;
    // The response to a direct command may have reported other tasks since; then the base heartbeat is out of date.
    const isCurrentBase =
      last.processedSequence !== null && equalUint64(unchanged.baseSequence, last.processedSequence);
    if (!machine.reconciled || !machine.inSync || !isCurrentBase) return false;
    last.sequence = unchanged.sequence;
    this.oneWayPartitionDetector.recordReply(machine, now);
    return true;
  }

  /** Records a heartbeat without replying with commands, for a leader without authority. */
  onHeartbeatWithoutAuthority(heartbeat: Heartbeat, now: MonotonicTime): void {
    this.processHeartbeat(heartbeat, 'heartbeat', now);
  }

  /** Handles the result of commands sent directly to a worker's endpoint. */
  onDirectCommandResult(
    id: MachineId,
    commands: Command[],
    result: DirectCommandResult,
    now: MonotonicTime,
  ): void {
    const machine = this.state.machines.get(id);
    if (!machine) return;
    machine.directCommandInFlight = false;
    for (const command of commands)
      if (command.op === 'start') this.recordDirectStartResult(machine, command, result);
    if ((result.kind === 'executed' || result.kind === 'refused') && result.heartbeat)
      this.processHeartbeat(result.heartbeat, 'direct command response', now);
  }

  /**
   * After a refused start the worker will refuse all earlier copies too, since token and incarnation only increase. An
   * unsent start proves nothing about earlier copies. In all other cases a copy may arrive late, even if the worker has
   * responded to the start, so the worker must keep the attempt.
   */
  private recordDirectStartResult(
    machine: Machine,
    { job, index, attempt }: Command,
    { kind }: DirectCommandResult,
  ): void {
    const placement = this.state.jobs.get(job)?.placements.get(index);
    const isCurrent = placement?.attempt === attempt && placement.machine === machine.id;
    if (isCurrent) placement.directStartInFlight = false;
    if (kind === 'refused') machine.inFlightStarts.recordRefused(attemptKey(job, index, attempt));
    else if (kind === 'unsent') machine.inFlightStarts.recordUnsent(attemptKey(job, index, attempt));
    else if (kind === 'unknown' && isCurrent) placement.directStartOutcomeUnknown = true;
  }

  /** Updates the machine's state by a heartbeat. Returns null if the heartbeat is out of date. */
  private processHeartbeat(
    heartbeat: Heartbeat,
    source: HeartbeatSource,
    now: MonotonicTime,
  ): Machine | null {
    // The network delayed the heartbeat until after the machine was deleted.
    if (this.state.deletedMachines.has(heartbeat.id)) return null;
    const machine = this.state.machines.get(heartbeat.id) ?? this.state.addMachine(heartbeat, now);
    const last = machine.lastHeartbeat;
    if (last.supersedes(heartbeat)) return null;
    if (isUnchanged(machine, heartbeat)) {
      last.recordSameTasks(heartbeat.sequence, now);
      return machine;
    }
    this.state.changedSinceTick = true;
    const previousReceivedAt = last.receivedAt;
    this.recordHeartbeat(machine, heartbeat, now);
    if (!machine.reconciled && !this.markReconciledIfTokenMatches(machine, heartbeat)) return machine;
    if (source === 'heartbeat')
      this.oneWayPartitionDetector.checkStartsAcknowledged(machine, heartbeat, previousReceivedAt, now);
    this.taskReconciler.reconcile(machine, heartbeat, source, now);
    if (machine.busy) machine.idleSince = null;
    else machine.idleSince ??= now;
    return machine;
  }

  /** Records the parts of a heartbeat that are valid under any leader's fencing token. */
  private recordHeartbeat(machine: Machine, heartbeat: Heartbeat, now: MonotonicTime): void {
    const last = machine.lastHeartbeat;
    const isFirst = last.receivedAt === null;
    if (isFirst) this.recordFirstHeartbeat(machine, now);
    const { id, endpoint, type, zone, spot } = heartbeat;
    machine.info = { id, endpoint, type, zone, spot };
    last.receivedAt = now;
    if (!isFirst && heartbeat.incarnation > last.incarnation) this.onIncarnationEnded(machine, now);
    last.incarnation = heartbeat.incarnation;
    last.sequence = heartbeat.sequence;
    if (heartbeat.interruptionNoticeS !== null)
      this.onInterruptionNotice(machine, heartbeat.interruptionNoticeS, now);
    last.tasks = heartbeat.tasks;
    last.processedSequence = heartbeat.sequence;
    machine.invalidate();
    machine.reportedTasks = new Map(
      heartbeat.tasks.map((task) => [attemptKey(task.job, task.index, task.attempt), task]),
    );
  }

  private recordFirstHeartbeat(machine: Machine, now: MonotonicTime): void {
    machine.contact = 'reporting';
    this.state.needsScheduling = true;
    this.state.recordCapacityGained();
    if (machine.registration.state === 'unregistered') machine.idleSince = now;
    this.state.log(
      'debug',
      { machine: machine.id, bootS: (now - machine.provisionedAt) / 1000 },
      'machine up',
    );
  }

  /**
   * Marks the machine as reconciled if the heartbeat carries this leader's fencing token; later heartbeats carry it
   * too.
   */
  private markReconciledIfTokenMatches(machine: Machine, heartbeat: Heartbeat): boolean {
    if (!equalUint64(heartbeat.fencingToken, this.state.leadership.term)) return false;
    machine.contact = 'reconciled';
    this.state.unreconciledMachines.delete(machine.id);
    this.state.needsScheduling = true;
    return true;
  }

  /** The worker's lease has expired: all of its tasks have ended, and it ignores replies to older heartbeats. */
  private onIncarnationEnded(machine: Machine, now: MonotonicTime): void {
    machine.inFlightStarts.clear();
    this.oneWayPartitionDetector.onLeaseExpired(machine, now);
    this.state.log(
      'info',
      { machine: machine.id, tasks: machine.placements.size },
      'worker incarnation ended, tasks lost',
    );
    for (const { job, placement } of [...machine.placements.values()])
      if (mayHaveReachedWorker(placement))
        this.state.placements.markLost(job, placement, 'incarnation ended', now);
  }

  /**
   * Evicts at once the tasks that save checkpoints, and those not yet running. Other running tasks continue until the
   * interruption.
   */
  private onInterruptionNotice(machine: Machine, noticeS: number, now: MonotonicTime): void {
    if (machine.interruptionNoticedAt !== null) return;
    machine.interruptionNoticedAt = now;
    this.state.log(
      'info',
      { machine: machine.id, noticeS, tasks: machine.placements.size },
      'interruption notice',
    );
    for (const { job, placement } of [...machine.placements.values()])
      if (job.spec.checkpointS > 0 || !placement.running)
        this.state.placements.evict(job, placement, 'interruption notice', now);
  }
}

/** Whether the heartbeat changes nothing, as most heartbeats in a large cluster do. */
const isUnchanged = (machine: Machine, heartbeat: Heartbeat): boolean =>
  heartbeat.incarnation <= machine.lastHeartbeat.incarnation &&
  machine.inSync &&
  machine.reconciled &&
  heartbeat.interruptionNoticeS === null &&
  sameTaskStatuses(machine.lastHeartbeat.tasks, heartbeat.tasks);

/** Whether every placed task is reported, and no task is stopping, saving or still to be forgotten. */
const hasNothingPending = (machine: Machine): boolean => {
  for (const [key, task] of machine.reportedTasks)
    if (task.state === 'exited' ? !machine.inFlightStarts.has(key) : task.state === 'saving') return false;
  for (const { placement } of machine.placements.values())
    if (!placement.observed || placement.stop !== null) return false;
  return true;
};
