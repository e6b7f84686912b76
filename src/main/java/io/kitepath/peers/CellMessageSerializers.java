package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.MachineKind;
import java.util.List;

/**
 * The format of the messages between cells; loaded only where there are other cells.
 *
 * <p>The order of the fields in each serializer is part of the protocol; see {@link
 * FieldSerializer} for why it is spelled out.
 */
final class CellMessageSerializers {
    private CellMessageSerializers() {}

    /** Registers the classes, under ids which are part of the protocol. */
    static void register(Kryo kryo) {
        kryo.register(PeerMessage.CellRequest.class, new CellRequestSerializer(), 36);
        kryo.register(PeerMessage.CellReply.class, new CellReplySerializer(), 37);
        kryo.register(CellMessage.Redirect.class, new RedirectSerializer(), 38);
        kryo.register(CellMessage.FreeCapacity.class, new FreeCapacitySerializer(), 39);
        kryo.register(CellMessage.Summary.class, new SummarySerializer(), 40);
        kryo.register(CellMessage.LoanOffer.class, new LoanOfferSerializer(), 41);
        kryo.register(CellMessage.LoanRecall.class, new LoanRecallSerializer(), 42);
        kryo.register(CellMessage.LoanState.class, 43);
        kryo.register(CellMessage.LoanStatus.class, new LoanStatusSerializer(), 44);
        kryo.register(CellMessage.LoanSettled.class, new LoanSettledSerializer(), 45);
        kryo.register(CellMessage.UserRequest.class, new UserRequestSerializer(), 46);
        kryo.register(CellMessage.RequestKind.class, 47);
        kryo.register(CellMessage.UserResponse.class, new UserResponseSerializer(), 48);
        kryo.register(JobSpec.class, new JobSpecSerializer(), 49);
        kryo.register(JobSpec.Shape.class, 50);
        kryo.register(JobSpec.Priority.class, 51);
        kryo.register(MachineKind.class, new MachineKindSerializer(), 52);
        kryo.register(byte[].class, new BoundedBytesSerializer(), 53);
        kryo.register(CellMessage.QuotaShare.class, new QuotaShareSerializer(), 54);
        kryo.register(CellMessage.QuotaGrant.class, new QuotaGrantSerializer(), 55);
        kryo.register(CellMessage.QuotaGrantAccepted.class, new QuotaGrantAcceptedSerializer(), 56);
    }

    private static final class CellRequestSerializer
            extends FieldSerializer<PeerMessage.CellRequest> {
        @Override
        public void write(Kryo kryo, Output output, PeerMessage.CellRequest request) {
            kryo.writeClassAndObject(output, request.message());
            writeLong(output, request.requestId());
        }

        @Override
        public PeerMessage.CellRequest read(
                Kryo kryo, Input input, Class<? extends PeerMessage.CellRequest> recordClass) {
            CellMessage message = (CellMessage) kryo.readClassAndObject(input);
            long requestId = readLong(input);
            return new PeerMessage.CellRequest(requestId, message);
        }
    }

    private static final class CellReplySerializer extends FieldSerializer<PeerMessage.CellReply> {
        @Override
        public void write(Kryo kryo, Output output, PeerMessage.CellReply reply) {
            kryo.writeClassAndObject(output, reply.message());
            writeLong(output, reply.requestId());
        }

        @Override
        public PeerMessage.CellReply read(
                Kryo kryo, Input input, Class<? extends PeerMessage.CellReply> recordClass) {
            CellMessage message = (CellMessage) kryo.readClassAndObject(input);
            long requestId = readLong(input);
            return new PeerMessage.CellReply(requestId, message);
        }
    }

    private static final class RedirectSerializer extends FieldSerializer<CellMessage.Redirect> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Redirect redirect) {
            output.writeString(redirect.node());
        }

        @Override
        public CellMessage.Redirect read(
                Kryo kryo, Input input, Class<? extends CellMessage.Redirect> recordClass) {
            String node = input.readString();
            return new CellMessage.Redirect(node);
        }
    }

    private static final class FreeCapacitySerializer
            extends FieldSerializer<CellMessage.FreeCapacity> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.FreeCapacity capacity) {
            output.writeDouble(capacity.cpus());
            output.writeDouble(capacity.gpus());
            writeInt(output, capacity.idleMachines());
            kryo.writeObjectOrNull(output, capacity.kind(), MachineKind.class);
            output.writeDouble(capacity.memoryGigabytes());
        }

        @Override
        public CellMessage.FreeCapacity read(
                Kryo kryo, Input input, Class<? extends CellMessage.FreeCapacity> recordClass) {
            double cpus = input.readDouble();
            double gpus = input.readDouble();
            int idleMachines = readInt(input);
            MachineKind kind = kryo.readObjectOrNull(input, MachineKind.class);
            double memoryGigabytes = input.readDouble();
            return new CellMessage.FreeCapacity(kind, cpus, gpus, memoryGigabytes, idleMachines);
        }
    }

    private static final class SummarySerializer extends FieldSerializer<CellMessage.Summary> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Summary summary) {
            output.writeString(summary.cell());
            writeList(kryo, output, summary.reachableCells());
            output.writeString(summary.leader());
            writeList(kryo, output, summary.freeCapacity());
            writeList(kryo, output, summary.quotaShares());
            output.writeBoolean(summary.acceptsLoans());
            writeLong(output, summary.directoryVersion());
            writeList(kryo, output, summary.queueSecondsByRank());
        }

        @Override
        public CellMessage.Summary read(
                Kryo kryo, Input input, Class<? extends CellMessage.Summary> recordClass) {
            String cell = input.readString();
            List<String> reachableCells = readList(kryo, input, String.class);
            String leader = input.readString();
            List<CellMessage.FreeCapacity> freeCapacity =
                    readList(kryo, input, CellMessage.FreeCapacity.class);
            List<CellMessage.QuotaShare> quotaShares =
                    readList(kryo, input, CellMessage.QuotaShare.class);
            boolean acceptsLoans = input.readBoolean();
            long directoryVersion = readLong(input);
            List<Double> queueSecondsByRank = readList(kryo, input, Double.class);
            return new CellMessage.Summary(
                    cell,
                    leader,
                    directoryVersion,
                    acceptsLoans,
                    freeCapacity,
                    queueSecondsByRank,
                    reachableCells,
                    quotaShares);
        }
    }

    private static final class LoanOfferSerializer extends FieldSerializer<CellMessage.LoanOffer> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.LoanOffer offer) {
            writeLong(output, offer.lowestOpenNumber());
            writeInt(output, offer.firstTask());
            output.writeString(offer.homeCell());
            kryo.writeObjectOrNull(output, offer.spec(), JobSpec.class);
            writeLong(output, offer.nextAttempt());
            writeLong(output, offer.loanNumber());
            output.writeDouble(offer.submittedMillis());
            writeInt(output, offer.endTask());
        }

        @Override
        public CellMessage.LoanOffer read(
                Kryo kryo, Input input, Class<? extends CellMessage.LoanOffer> recordClass) {
            long lowestOpenNumber = readLong(input);
            int firstTask = readInt(input);
            String homeCell = input.readString();
            JobSpec spec = kryo.readObjectOrNull(input, JobSpec.class);
            long nextAttempt = readLong(input);
            long loanNumber = readLong(input);
            double submittedMillis = input.readDouble();
            int endTask = readInt(input);
            return new CellMessage.LoanOffer(
                    homeCell,
                    loanNumber,
                    lowestOpenNumber,
                    spec,
                    submittedMillis,
                    firstTask,
                    endTask,
                    nextAttempt);
        }
    }

    private static final class LoanRecallSerializer
            extends FieldSerializer<CellMessage.LoanRecall> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.LoanRecall recall) {
            writeLong(output, recall.lowestOpenNumber());
            output.writeString(recall.homeCell());
            output.writeBoolean(recall.kill());
            writeLong(output, recall.loanNumber());
        }

        @Override
        public CellMessage.LoanRecall read(
                Kryo kryo, Input input, Class<? extends CellMessage.LoanRecall> recordClass) {
            long lowestOpenNumber = readLong(input);
            String homeCell = input.readString();
            boolean kill = input.readBoolean();
            long loanNumber = readLong(input);
            return new CellMessage.LoanRecall(homeCell, loanNumber, lowestOpenNumber, kill);
        }
    }

    private static final class LoanStatusSerializer
            extends FieldSerializer<CellMessage.LoanStatus> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.LoanStatus status) {
            output.writeString(status.cell());
            kryo.writeObjectOrNull(output, status.doneTasks(), byte[].class);
            writeLong(output, status.nextAttempt());
            writeLong(output, status.loanNumber());
            kryo.writeObjectOrNull(output, status.state(), CellMessage.LoanState.class);
        }

        @Override
        public CellMessage.LoanStatus read(
                Kryo kryo, Input input, Class<? extends CellMessage.LoanStatus> recordClass) {
            String cell = input.readString();
            byte[] doneTasks = kryo.readObjectOrNull(input, byte[].class);
            long nextAttempt = readLong(input);
            long loanNumber = readLong(input);
            CellMessage.LoanState state = kryo.readObjectOrNull(input, CellMessage.LoanState.class);
            return new CellMessage.LoanStatus(cell, loanNumber, state, doneTasks, nextAttempt);
        }
    }

    private static final class LoanSettledSerializer
            extends FieldSerializer<CellMessage.LoanSettled> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.LoanSettled settled) {
            writeLong(output, settled.lowestOpenNumber());
            writeLong(output, settled.loanNumber());
        }

        @Override
        public CellMessage.LoanSettled read(
                Kryo kryo, Input input, Class<? extends CellMessage.LoanSettled> recordClass) {
            long lowestOpenNumber = readLong(input);
            long loanNumber = readLong(input);
            return new CellMessage.LoanSettled(loanNumber, lowestOpenNumber);
        }
    }

    private static final class UserRequestSerializer
            extends FieldSerializer<CellMessage.UserRequest> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.UserRequest request) {
            output.writeString(request.jobId());
            kryo.writeObjectOrNull(output, request.spec(), JobSpec.class);
            kryo.writeObjectOrNull(output, request.kind(), CellMessage.RequestKind.class);
        }

        @Override
        public CellMessage.UserRequest read(
                Kryo kryo, Input input, Class<? extends CellMessage.UserRequest> recordClass) {
            String jobId = input.readString();
            JobSpec spec = kryo.readObjectOrNull(input, JobSpec.class);
            CellMessage.RequestKind kind =
                    kryo.readObjectOrNull(input, CellMessage.RequestKind.class);
            return new CellMessage.UserRequest(kind, jobId, spec);
        }
    }

    private static final class UserResponseSerializer
            extends FieldSerializer<CellMessage.UserResponse> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.UserResponse response) {
            kryo.writeObjectOrNull(output, response.status(), JobStatus.class);
            output.writeString(response.verdict());
        }

        @Override
        public CellMessage.UserResponse read(
                Kryo kryo, Input input, Class<? extends CellMessage.UserResponse> recordClass) {
            JobStatus status = kryo.readObjectOrNull(input, JobStatus.class);
            String verdict = input.readString();
            return new CellMessage.UserResponse(verdict, status);
        }
    }

    private static final class JobSpecSerializer extends FieldSerializer<JobSpec> {
        @Override
        public void write(Kryo kryo, Output output, JobSpec spec) {
            output.writeDouble(spec.checkpointIntervalSeconds());
            output.writeDouble(spec.cpusPerTask());
            kryo.writeObjectOrNull(output, spec.deadlineSeconds(), Double.class);
            output.writeDouble(spec.estimatedSeconds());
            output.writeDouble(spec.gpusPerTask());
            output.writeString(spec.id());
            output.writeString(spec.image());
            output.writeDouble(spec.imageGigabytes());
            output.writeString(spec.jobClass());
            output.writeDouble(spec.memoryGigabytesPerTask());
            output.writeBoolean(spec.isSingleZone());
            kryo.writeObjectOrNull(output, spec.priority(), JobSpec.Priority.class);
            output.writeDouble(spec.checkpointSaveSeconds());
            kryo.writeObjectOrNull(output, spec.shape(), JobSpec.Shape.class);
            output.writeBoolean(spec.allowsSpot());
            output.writeBoolean(spec.isSpreadAcrossZones());
            writeInt(output, spec.taskCount());
            output.writeString(spec.team());
            writeListOrNull(kryo, output, spec.machineTypes());
            output.writeString(spec.zone());
        }

        @Override
        public JobSpec read(Kryo kryo, Input input, Class<? extends JobSpec> recordClass) {
            double checkpointIntervalSeconds = input.readDouble();
            double cpusPerTask = input.readDouble();
            Double deadlineSeconds = kryo.readObjectOrNull(input, Double.class);
            double estimatedSeconds = input.readDouble();
            double gpusPerTask = input.readDouble();
            String id = input.readString();
            String image = input.readString();
            double imageGigabytes = input.readDouble();
            String jobClass = input.readString();
            double memoryGigabytesPerTask = input.readDouble();
            boolean isSingleZone = input.readBoolean();
            JobSpec.Priority priority = kryo.readObjectOrNull(input, JobSpec.Priority.class);
            double checkpointSaveSeconds = input.readDouble();
            JobSpec.Shape shape = kryo.readObjectOrNull(input, JobSpec.Shape.class);
            boolean allowsSpot = input.readBoolean();
            boolean isSpreadAcrossZones = input.readBoolean();
            int taskCount = readInt(input);
            String team = input.readString();
            List<String> machineTypes = readListOrNull(kryo, input, String.class);
            String zone = input.readString();
            return new JobSpec(
                    id,
                    jobClass,
                    team,
                    shape,
                    priority,
                    taskCount,
                    cpusPerTask,
                    gpusPerTask,
                    memoryGigabytesPerTask,
                    machineTypes,
                    zone,
                    isSingleZone,
                    isSpreadAcrossZones,
                    allowsSpot,
                    image,
                    imageGigabytes,
                    estimatedSeconds,
                    checkpointIntervalSeconds,
                    checkpointSaveSeconds,
                    deadlineSeconds);
        }
    }

    private static final class MachineKindSerializer extends FieldSerializer<MachineKind> {
        @Override
        public void write(Kryo kryo, Output output, MachineKind kind) {
            output.writeBoolean(kind.spot());
            output.writeString(kind.machineType());
            output.writeString(kind.zone());
        }

        @Override
        public MachineKind read(Kryo kryo, Input input, Class<? extends MachineKind> recordClass) {
            boolean spot = input.readBoolean();
            String machineType = input.readString();
            String zone = input.readString();
            return new MachineKind(machineType, zone, spot);
        }
    }

    private static final class QuotaShareSerializer
            extends FieldSerializer<CellMessage.QuotaShare> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.QuotaShare share) {
            writeLong(output, share.nextJobNeed());
            writeLong(output, share.held());
            writeInt(output, share.resourceKind());
            output.writeDouble(share.nextJobSubmittedMillis());
            writeLong(output, share.nextTaskNeed());
            output.writeString(share.team());
            writeLong(output, share.used());
            writeLong(output, share.wanted());
        }

        @Override
        public CellMessage.QuotaShare read(
                Kryo kryo, Input input, Class<? extends CellMessage.QuotaShare> recordClass) {
            long nextJobNeed = readLong(input);
            long held = readLong(input);
            int resourceKind = readInt(input);
            double nextJobSubmittedMillis = input.readDouble();
            long nextTaskNeed = readLong(input);
            String team = input.readString();
            long used = readLong(input);
            long wanted = readLong(input);
            return new CellMessage.QuotaShare(
                    team,
                    resourceKind,
                    held,
                    used,
                    wanted,
                    nextJobNeed,
                    nextTaskNeed,
                    nextJobSubmittedMillis);
        }
    }

    private static final class QuotaGrantSerializer
            extends FieldSerializer<CellMessage.QuotaGrant> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.QuotaGrant grant) {
            writeLong(output, grant.amount());
            writeLong(output, grant.lowestOpenNumber());
            output.writeString(grant.fromCell());
            writeInt(output, grant.resourceKind());
            writeLong(output, grant.grantNumber());
            output.writeString(grant.team());
        }

        @Override
        public CellMessage.QuotaGrant read(
                Kryo kryo, Input input, Class<? extends CellMessage.QuotaGrant> recordClass) {
            long amount = readLong(input);
            long lowestOpenNumber = readLong(input);
            String fromCell = input.readString();
            int resourceKind = readInt(input);
            long grantNumber = readLong(input);
            String team = input.readString();
            return new CellMessage.QuotaGrant(
                    fromCell, grantNumber, lowestOpenNumber, team, resourceKind, amount);
        }
    }

    private static final class QuotaGrantAcceptedSerializer
            extends FieldSerializer<CellMessage.QuotaGrantAccepted> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.QuotaGrantAccepted accepted) {
            writeLong(output, accepted.grantNumber());
        }

        @Override
        public CellMessage.QuotaGrantAccepted read(
                Kryo kryo,
                Input input,
                Class<? extends CellMessage.QuotaGrantAccepted> recordClass) {
            long grantNumber = readLong(input);
            return new CellMessage.QuotaGrantAccepted(grantNumber);
        }
    }
}
