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
        kryo.register(Messages.AskCell.class, new AskCellSerializer(), 36);
        kryo.register(Messages.AnswerCell.class, new AnswerCellSerializer(), 37);
        kryo.register(CellMessage.Redirect.class, new ElsewhereSerializer(), 38);
        kryo.register(CellMessage.FreeCapacity.class, new RoomSerializer(), 39);
        kryo.register(CellMessage.Summary.class, new SummarySerializer(), 40);
        kryo.register(CellMessage.LoanOffer.class, new OfferSerializer(), 41);
        kryo.register(CellMessage.LoanRecall.class, new RecallSerializer(), 42);
        kryo.register(CellMessage.LoanState.class, 43);
        kryo.register(CellMessage.LoanStatus.class, new WordSerializer(), 44);
        kryo.register(CellMessage.LoanSettled.class, new SettledSerializer(), 45);
        kryo.register(CellMessage.UserRequest.class, new UserAskSerializer(), 46);
        kryo.register(CellMessage.RequestKind.class, 47);
        kryo.register(CellMessage.UserResponse.class, new UserAnswerSerializer(), 48);
        kryo.register(JobSpec.class, new JobSpecSerializer(), 49);
        kryo.register(JobSpec.Shape.class, 50);
        kryo.register(JobSpec.Priority.class, 51);
        kryo.register(MachineKind.class, new MachineKindSerializer(), 52);
        kryo.register(byte[].class, new BoundedSerializers.OfBytes(), 53);
        kryo.register(CellMessage.QuotaShare.class, new ShareSerializer(), 54);
        kryo.register(CellMessage.QuotaGrant.class, new GrantSerializer(), 55);
        kryo.register(CellMessage.QuotaGrantAccepted.class, new GrantedSerializer(), 56);
    }

    private static final class AskCellSerializer extends FieldSerializer<Messages.AskCell> {
        @Override
        public void write(Kryo kryo, Output output, Messages.AskCell ask) {
            kryo.writeClassAndObject(output, ask.message());
            writeLong(output, ask.number());
        }

        @Override
        public Messages.AskCell read(
                Kryo kryo, Input input, Class<? extends Messages.AskCell> type) {
            CellMessage message = (CellMessage) kryo.readClassAndObject(input);
            long number = readLong(input);
            return new Messages.AskCell(number, message);
        }
    }

    private static final class AnswerCellSerializer extends FieldSerializer<Messages.AnswerCell> {
        @Override
        public void write(Kryo kryo, Output output, Messages.AnswerCell answer) {
            kryo.writeClassAndObject(output, answer.message());
            writeLong(output, answer.number());
        }

        @Override
        public Messages.AnswerCell read(
                Kryo kryo, Input input, Class<? extends Messages.AnswerCell> type) {
            CellMessage message = (CellMessage) kryo.readClassAndObject(input);
            long number = readLong(input);
            return new Messages.AnswerCell(number, message);
        }
    }

    private static final class ElsewhereSerializer extends FieldSerializer<CellMessage.Redirect> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Redirect elsewhere) {
            output.writeString(elsewhere.node());
        }

        @Override
        public CellMessage.Redirect read(
                Kryo kryo, Input input, Class<? extends CellMessage.Redirect> type) {
            String node = input.readString();
            return new CellMessage.Redirect(node);
        }
    }

    private static final class RoomSerializer extends FieldSerializer<CellMessage.FreeCapacity> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.FreeCapacity room) {
            output.writeDouble(room.cpus());
            output.writeDouble(room.gpus());
            writeInt(output, room.idleMachines());
            kryo.writeObjectOrNull(output, room.kind(), MachineKind.class);
            output.writeDouble(room.memoryGigabytes());
        }

        @Override
        public CellMessage.FreeCapacity read(
                Kryo kryo, Input input, Class<? extends CellMessage.FreeCapacity> type) {
            double cpus = input.readDouble();
            double gpus = input.readDouble();
            int idle = readInt(input);
            MachineKind kind = kryo.readObjectOrNull(input, MachineKind.class);
            double memoryGb = input.readDouble();
            return new CellMessage.FreeCapacity(kind, cpus, gpus, memoryGb, idle);
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
                Kryo kryo, Input input, Class<? extends CellMessage.Summary> type) {
            String cell = input.readString();
            List<String> hears = readList(kryo, input, String.class);
            String leader = input.readString();
            List<CellMessage.FreeCapacity> room =
                    readList(kryo, input, CellMessage.FreeCapacity.class);
            List<CellMessage.QuotaShare> shares =
                    readList(kryo, input, CellMessage.QuotaShare.class);
            boolean takes = input.readBoolean();
            long version = readLong(input);
            List<Double> waitS = readList(kryo, input, Double.class);
            return new CellMessage.Summary(
                    cell, leader, version, takes, room, waitS, hears, shares);
        }
    }

    private static final class OfferSerializer extends FieldSerializer<CellMessage.LoanOffer> {
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
                Kryo kryo, Input input, Class<? extends CellMessage.LoanOffer> type) {
            long floor = readLong(input);
            int from = readInt(input);
            String home = input.readString();
            JobSpec job = kryo.readObjectOrNull(input, JobSpec.class);
            long next = readLong(input);
            long number = readLong(input);
            double submittedMs = input.readDouble();
            int until = readInt(input);
            return new CellMessage.LoanOffer(
                    home, number, floor, job, submittedMs, from, until, next);
        }
    }

    private static final class RecallSerializer extends FieldSerializer<CellMessage.LoanRecall> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.LoanRecall recall) {
            writeLong(output, recall.lowestOpenNumber());
            output.writeString(recall.homeCell());
            output.writeBoolean(recall.kill());
            writeLong(output, recall.loanNumber());
        }

        @Override
        public CellMessage.LoanRecall read(
                Kryo kryo, Input input, Class<? extends CellMessage.LoanRecall> type) {
            long floor = readLong(input);
            String home = input.readString();
            boolean kill = input.readBoolean();
            long number = readLong(input);
            return new CellMessage.LoanRecall(home, number, floor, kill);
        }
    }

    private static final class WordSerializer extends FieldSerializer<CellMessage.LoanStatus> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.LoanStatus word) {
            output.writeString(word.cell());
            kryo.writeObjectOrNull(output, word.doneTasks(), byte[].class);
            writeLong(output, word.nextAttempt());
            writeLong(output, word.loanNumber());
            kryo.writeObjectOrNull(output, word.state(), CellMessage.LoanState.class);
        }

        @Override
        public CellMessage.LoanStatus read(
                Kryo kryo, Input input, Class<? extends CellMessage.LoanStatus> type) {
            String cell = input.readString();
            byte[] done = kryo.readObjectOrNull(input, byte[].class);
            long next = readLong(input);
            long number = readLong(input);
            CellMessage.LoanState standing =
                    kryo.readObjectOrNull(input, CellMessage.LoanState.class);
            return new CellMessage.LoanStatus(cell, number, standing, done, next);
        }
    }

    private static final class SettledSerializer extends FieldSerializer<CellMessage.LoanSettled> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.LoanSettled settled) {
            writeLong(output, settled.lowestOpenNumber());
            writeLong(output, settled.loanNumber());
        }

        @Override
        public CellMessage.LoanSettled read(
                Kryo kryo, Input input, Class<? extends CellMessage.LoanSettled> type) {
            long floor = readLong(input);
            long number = readLong(input);
            return new CellMessage.LoanSettled(number, floor);
        }
    }

    private static final class UserAskSerializer extends FieldSerializer<CellMessage.UserRequest> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.UserRequest ask) {
            output.writeString(ask.jobId());
            kryo.writeObjectOrNull(output, ask.spec(), JobSpec.class);
            kryo.writeObjectOrNull(output, ask.kind(), CellMessage.RequestKind.class);
        }

        @Override
        public CellMessage.UserRequest read(
                Kryo kryo, Input input, Class<? extends CellMessage.UserRequest> type) {
            String id = input.readString();
            JobSpec job = kryo.readObjectOrNull(input, JobSpec.class);
            CellMessage.RequestKind kind =
                    kryo.readObjectOrNull(input, CellMessage.RequestKind.class);
            return new CellMessage.UserRequest(kind, id, job);
        }
    }

    private static final class UserAnswerSerializer
            extends FieldSerializer<CellMessage.UserResponse> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.UserResponse answer) {
            kryo.writeObjectOrNull(output, answer.status(), JobStatus.class);
            output.writeString(answer.verdict());
        }

        @Override
        public CellMessage.UserResponse read(
                Kryo kryo, Input input, Class<? extends CellMessage.UserResponse> type) {
            JobStatus state = kryo.readObjectOrNull(input, JobStatus.class);
            String verdict = input.readString();
            return new CellMessage.UserResponse(verdict, state);
        }
    }

    private static final class JobSpecSerializer extends FieldSerializer<JobSpec> {
        @Override
        public void write(Kryo kryo, Output output, JobSpec job) {
            output.writeDouble(job.checkpointIntervalSeconds());
            output.writeDouble(job.cpusPerTask());
            kryo.writeObjectOrNull(output, job.deadlineSeconds(), Double.class);
            output.writeDouble(job.estimatedSeconds());
            output.writeDouble(job.gpusPerTask());
            output.writeString(job.id());
            output.writeString(job.image());
            output.writeDouble(job.imageGigabytes());
            output.writeString(job.jobClass());
            output.writeDouble(job.memoryGigabytesPerTask());
            output.writeBoolean(job.isSingleZone());
            kryo.writeObjectOrNull(output, job.priority(), JobSpec.Priority.class);
            output.writeDouble(job.checkpointSaveSeconds());
            kryo.writeObjectOrNull(output, job.shape(), JobSpec.Shape.class);
            output.writeBoolean(job.allowsSpot());
            output.writeBoolean(job.isSpreadAcrossZones());
            writeInt(output, job.taskCount());
            output.writeString(job.team());
            writeListOrNull(kryo, output, job.machineTypes());
            output.writeString(job.zone());
        }

        @Override
        public JobSpec read(Kryo kryo, Input input, Class<? extends JobSpec> type) {
            double checkpointS = input.readDouble();
            double cpus = input.readDouble();
            Double deadlineS = kryo.readObjectOrNull(input, Double.class);
            double estimateS = input.readDouble();
            double gpus = input.readDouble();
            String id = input.readString();
            String image = input.readString();
            double imageGb = input.readDouble();
            String jobClass = input.readString();
            double memoryGb = input.readDouble();
            boolean oneZone = input.readBoolean();
            JobSpec.Priority priority = kryo.readObjectOrNull(input, JobSpec.Priority.class);
            double saveS = input.readDouble();
            JobSpec.Shape shape = kryo.readObjectOrNull(input, JobSpec.Shape.class);
            boolean spot = input.readBoolean();
            boolean spread = input.readBoolean();
            int tasks = readInt(input);
            String team = input.readString();
            List<String> types = readListOrNull(kryo, input, String.class);
            String zone = input.readString();
            return new JobSpec(
                    id,
                    jobClass,
                    team,
                    shape,
                    priority,
                    tasks,
                    cpus,
                    gpus,
                    memoryGb,
                    types,
                    zone,
                    oneZone,
                    spread,
                    spot,
                    image,
                    imageGb,
                    estimateS,
                    checkpointS,
                    saveS,
                    deadlineS);
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
            String type = input.readString();
            String zone = input.readString();
            return new MachineKind(type, zone, spot);
        }
    }

    private static final class ShareSerializer extends FieldSerializer<CellMessage.QuotaShare> {
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
                Kryo kryo, Input input, Class<? extends CellMessage.QuotaShare> type) {
            long head = readLong(input);
            long holds = readLong(input);
            int kind = readInt(input);
            double since = input.readDouble();
            long task = readLong(input);
            String team = input.readString();
            long used = readLong(input);
            long wants = readLong(input);
            return new CellMessage.QuotaShare(team, kind, holds, used, wants, head, task, since);
        }
    }

    private static final class GrantSerializer extends FieldSerializer<CellMessage.QuotaGrant> {
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
                Kryo kryo, Input input, Class<? extends CellMessage.QuotaGrant> type) {
            long amount = readLong(input);
            long floor = readLong(input);
            String from = input.readString();
            int kind = readInt(input);
            long number = readLong(input);
            String team = input.readString();
            return new CellMessage.QuotaGrant(from, number, floor, team, kind, amount);
        }
    }

    private static final class GrantedSerializer
            extends FieldSerializer<CellMessage.QuotaGrantAccepted> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.QuotaGrantAccepted granted) {
            writeLong(output, granted.grantNumber());
        }

        @Override
        public CellMessage.QuotaGrantAccepted read(
                Kryo kryo, Input input, Class<? extends CellMessage.QuotaGrantAccepted> type) {
            long number = readLong(input);
            return new CellMessage.QuotaGrantAccepted(number);
        }
    }
}
