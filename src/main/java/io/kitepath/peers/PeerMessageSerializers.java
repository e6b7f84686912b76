package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;

/**
 * The format of the messages between the nodes of one cell.
 *
 * <p>The order of the fields in each serializer is part of the protocol; see {@link
 * FieldSerializer} for why it is spelled out.
 */
final class PeerMessageSerializers {
    private PeerMessageSerializers() {}

    /** Registers the classes, under ids which are part of the protocol. */
    static void register(Kryo kryo) {
        kryo.register(PeerMessage.NodeState.class, new NodeStateSerializer(), 20);
        kryo.register(PeerMessage.JobEnded.class, new JobEndedSerializer(), 21);
        kryo.register(PeerMessage.HeartbeatRelay.class, new HeartbeatRelaySerializer(), 22);
        kryo.register(
                PeerMessage.HeartbeatRelayReply.class, new HeartbeatRelayReplySerializer(), 23);
        kryo.register(Heartbeat.class, new HeartbeatSerializer(), 24);
        kryo.register(Heartbeat.TaskStatus.class, new TaskStatusSerializer(), 25);
        kryo.register(Heartbeat.TaskState.class, 26);
        kryo.register(Heartbeat.EndCause.class, 27);
        kryo.register(HeartbeatResponse.class, new HeartbeatResponseSerializer(), 28);
        kryo.register(WorkerCommand.class, new WorkerCommandSerializer(), 29);
        kryo.register(WorkerCommand.Action.class, 30);
        kryo.register(ArrayList.class, new BoundedListSerializer(), 31);
        kryo.register(PeerMessage.ProgressRequest.class, new ProgressRequestSerializer(), 32);
        kryo.register(PeerMessage.ProgressReply.class, new ProgressReplySerializer(), 33);
        kryo.register(JobProgress.class, new JobProgressSerializer(), 34);
        kryo.register(JobStatus.class, new JobStatusSerializer(), 35);
        // Ids from 36 on belong to CellMessageSerializers; those from 100 on to what came later.
        kryo.register(PeerMessage.CancelledJobs.class, new CancelledJobsSerializer(), 100);
        kryo.register(
                PeerMessage.ImpliedCancellations.class, new ImpliedCancellationsSerializer(), 101);
    }

    private static final class NodeStateSerializer extends FieldSerializer<PeerMessage.NodeState> {
        @Override
        public void write(Kryo kryo, Output output, PeerMessage.NodeState state) {
            output.writeString(state.node());
            output.writeBoolean(state.isLeader());
            output.writeBoolean(state.isStoreServing());
            writeLong(output, state.fencingToken());
        }

        @Override
        public PeerMessage.NodeState read(
                Kryo kryo, Input input, Class<? extends PeerMessage.NodeState> recordClass) {
            String node = input.readString();
            boolean isLeader = input.readBoolean();
            boolean isStoreServing = input.readBoolean();
            long fencingToken = readLong(input);
            return new PeerMessage.NodeState(node, fencingToken, isLeader, isStoreServing);
        }
    }

    private static final class JobEndedSerializer extends FieldSerializer<PeerMessage.JobEnded> {
        @Override
        public void write(Kryo kryo, Output output, PeerMessage.JobEnded ended) {
            kryo.writeObjectOrNull(output, ended.job(), JobStatus.class);
        }

        @Override
        public PeerMessage.JobEnded read(
                Kryo kryo, Input input, Class<? extends PeerMessage.JobEnded> recordClass) {
            JobStatus job = kryo.readObjectOrNull(input, JobStatus.class);
            return new PeerMessage.JobEnded(job);
        }
    }

    private static final class HeartbeatRelaySerializer
            extends FieldSerializer<PeerMessage.HeartbeatRelay> {
        @Override
        public void write(Kryo kryo, Output output, PeerMessage.HeartbeatRelay relay) {
            writeLong(output, relay.requestId());
            output.writeBoolean(relay.mayForward());
            kryo.writeObjectOrNull(output, relay.heartbeat(), Heartbeat.class);
        }

        @Override
        public PeerMessage.HeartbeatRelay read(
                Kryo kryo, Input input, Class<? extends PeerMessage.HeartbeatRelay> recordClass) {
            long requestId = readLong(input);
            boolean mayForward = input.readBoolean();
            Heartbeat heartbeat = kryo.readObjectOrNull(input, Heartbeat.class);
            return new PeerMessage.HeartbeatRelay(requestId, heartbeat, mayForward);
        }
    }

    private static final class HeartbeatRelayReplySerializer
            extends FieldSerializer<PeerMessage.HeartbeatRelayReply> {
        @Override
        public void write(Kryo kryo, Output output, PeerMessage.HeartbeatRelayReply reply) {
            kryo.writeObjectOrNull(output, reply.response(), HeartbeatResponse.class);
            writeLong(output, reply.requestId());
        }

        @Override
        public PeerMessage.HeartbeatRelayReply read(
                Kryo kryo,
                Input input,
                Class<? extends PeerMessage.HeartbeatRelayReply> recordClass) {
            HeartbeatResponse response = kryo.readObjectOrNull(input, HeartbeatResponse.class);
            long requestId = readLong(input);
            return new PeerMessage.HeartbeatRelayReply(requestId, response);
        }
    }

    private static final class HeartbeatSerializer extends FieldSerializer<Heartbeat> {
        @Override
        public void write(Kryo kryo, Output output, Heartbeat heartbeat) {
            output.writeString(heartbeat.address());
            output.writeString(heartbeat.machineId());
            kryo.writeObjectOrNull(output, heartbeat.noticeSeconds(), Double.class);
            writeLong(output, heartbeat.sequence());
            writeLong(output, heartbeat.agentIncarnation());
            output.writeBoolean(heartbeat.spot());
            writeList(kryo, output, heartbeat.tasks());
            writeLong(output, heartbeat.fencingToken());
            output.writeString(heartbeat.machineType());
            output.writeString(heartbeat.zone());
        }

        @Override
        public Heartbeat read(Kryo kryo, Input input, Class<? extends Heartbeat> recordClass) {
            String address = input.readString();
            String machineId = input.readString();
            Double noticeSeconds = kryo.readObjectOrNull(input, Double.class);
            long sequence = readLong(input);
            long agentIncarnation = readLong(input);
            boolean spot = input.readBoolean();
            List<Heartbeat.TaskStatus> tasks = readList(kryo, input, Heartbeat.TaskStatus.class);
            long fencingToken = readLong(input);
            String machineType = input.readString();
            String zone = input.readString();
            return new Heartbeat(
                    machineId,
                    address,
                    machineType,
                    zone,
                    spot,
                    agentIncarnation,
                    sequence,
                    fencingToken,
                    noticeSeconds,
                    tasks);
        }
    }

    private static final class TaskStatusSerializer extends FieldSerializer<Heartbeat.TaskStatus> {
        @Override
        public void write(Kryo kryo, Output output, Heartbeat.TaskStatus status) {
            writeLong(output, status.attempt());
            kryo.writeObjectOrNull(output, status.cause(), Heartbeat.EndCause.class);
            output.writeString(status.jobId());
            kryo.writeObjectOrNull(output, status.state(), Heartbeat.TaskState.class);
            writeInt(output, status.task());
        }

        @Override
        public Heartbeat.TaskStatus read(
                Kryo kryo, Input input, Class<? extends Heartbeat.TaskStatus> recordClass) {
            long attempt = readLong(input);
            Heartbeat.EndCause cause = kryo.readObjectOrNull(input, Heartbeat.EndCause.class);
            String jobId = input.readString();
            Heartbeat.TaskState state = kryo.readObjectOrNull(input, Heartbeat.TaskState.class);
            int task = readInt(input);
            return new Heartbeat.TaskStatus(jobId, task, attempt, state, cause);
        }
    }

    private static final class HeartbeatResponseSerializer
            extends FieldSerializer<HeartbeatResponse> {
        @Override
        public void write(Kryo kryo, Output output, HeartbeatResponse response) {
            output.writeString(response.redirectNode());
            writeList(kryo, output, response.commands());
            writeLong(output, response.fencingToken());
        }

        @Override
        public HeartbeatResponse read(
                Kryo kryo, Input input, Class<? extends HeartbeatResponse> recordClass) {
            String redirectNode = input.readString();
            List<WorkerCommand> commands = readList(kryo, input, WorkerCommand.class);
            long fencingToken = readLong(input);
            return new HeartbeatResponse(fencingToken, commands, redirectNode);
        }
    }

    private static final class WorkerCommandSerializer extends FieldSerializer<WorkerCommand> {
        @Override
        public void write(Kryo kryo, Output output, WorkerCommand command) {
            writeLong(output, command.attempt());
            output.writeDouble(command.graceSeconds());
            output.writeString(command.jobId());
            writeInt(output, command.task());
            kryo.writeObjectOrNull(output, command.action(), WorkerCommand.Action.class);
        }

        @Override
        public WorkerCommand read(
                Kryo kryo, Input input, Class<? extends WorkerCommand> recordClass) {
            long attempt = readLong(input);
            double graceSeconds = input.readDouble();
            String jobId = input.readString();
            int task = readInt(input);
            WorkerCommand.Action action = kryo.readObjectOrNull(input, WorkerCommand.Action.class);
            return new WorkerCommand(action, jobId, task, attempt, graceSeconds);
        }
    }

    private static final class ProgressRequestSerializer
            extends FieldSerializer<PeerMessage.ProgressRequest> {
        @Override
        public void write(Kryo kryo, Output output, PeerMessage.ProgressRequest request) {
            writeList(kryo, output, request.jobIds());
            writeLong(output, request.requestId());
        }

        @Override
        public PeerMessage.ProgressRequest read(
                Kryo kryo, Input input, Class<? extends PeerMessage.ProgressRequest> recordClass) {
            List<String> jobIds = readList(kryo, input, String.class);
            long requestId = readLong(input);
            return new PeerMessage.ProgressRequest(requestId, jobIds);
        }
    }

    private static final class ProgressReplySerializer
            extends FieldSerializer<PeerMessage.ProgressReply> {
        @Override
        public void write(Kryo kryo, Output output, PeerMessage.ProgressReply reply) {
            writeLong(output, reply.requestId());
            writeList(kryo, output, reply.progress());
        }

        @Override
        public PeerMessage.ProgressReply read(
                Kryo kryo, Input input, Class<? extends PeerMessage.ProgressReply> recordClass) {
            long requestId = readLong(input);
            List<JobProgress> progress = readList(kryo, input, JobProgress.class);
            return new PeerMessage.ProgressReply(requestId, progress);
        }
    }

    private static final class JobProgressSerializer extends FieldSerializer<JobProgress> {
        @Override
        public void write(Kryo kryo, Output output, JobProgress progress) {
            writeInt(output, progress.doneTaskCount());
            output.writeString(progress.jobId());
            output.writeString(progress.note());
            writeInt(output, progress.runningTaskCount());
        }

        @Override
        public JobProgress read(Kryo kryo, Input input, Class<? extends JobProgress> recordClass) {
            int doneTaskCount = readInt(input);
            String jobId = input.readString();
            String note = input.readString();
            int runningTaskCount = readInt(input);
            return new JobProgress(jobId, doneTaskCount, runningTaskCount, note);
        }
    }

    private static final class JobStatusSerializer extends FieldSerializer<JobStatus> {
        @Override
        public void write(Kryo kryo, Output output, JobStatus job) {
            writeInt(output, job.doneTaskCount());
            output.writeString(job.jobId());
            output.writeString(job.note());
            writeInt(output, job.runningTaskCount());
            output.writeString(job.status());
        }

        @Override
        public JobStatus read(Kryo kryo, Input input, Class<? extends JobStatus> recordClass) {
            int doneTaskCount = readInt(input);
            String jobId = input.readString();
            String note = input.readString();
            int runningTaskCount = readInt(input);
            String status = input.readString();
            return new JobStatus(jobId, status, doneTaskCount, runningTaskCount, note);
        }
    }

    private static final class ImpliedCancellationsSerializer
            extends FieldSerializer<PeerMessage.ImpliedCancellations> {
        @Override
        public void write(Kryo kryo, Output output, PeerMessage.ImpliedCancellations implied) {
            writeList(kryo, output, implied.jobIds());
        }

        @Override
        public PeerMessage.ImpliedCancellations read(
                Kryo kryo,
                Input input,
                Class<? extends PeerMessage.ImpliedCancellations> recordClass) {
            return new PeerMessage.ImpliedCancellations(readList(kryo, input, String.class));
        }
    }

    private static final class CancelledJobsSerializer
            extends FieldSerializer<PeerMessage.CancelledJobs> {
        @Override
        public void write(Kryo kryo, Output output, PeerMessage.CancelledJobs cancelled) {
            output.writeString(cancelled.node());
            writeList(kryo, output, cancelled.jobIds());
            output.writeDouble(cancelled.sinceMillis());
            output.writeDouble(cancelled.untilMillis());
        }

        @Override
        public PeerMessage.CancelledJobs read(
                Kryo kryo, Input input, Class<? extends PeerMessage.CancelledJobs> recordClass) {
            String node = input.readString();
            List<String> jobIds = readList(kryo, input, String.class);
            double sinceMillis = input.readDouble();
            double untilMillis = input.readDouble();
            return new PeerMessage.CancelledJobs(node, sinceMillis, untilMillis, jobIds);
        }
    }
}
