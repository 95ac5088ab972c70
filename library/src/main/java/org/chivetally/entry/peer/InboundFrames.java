package org.chivetally.entry.peer;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.chivetally.entry.member.Incarnation;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberRecords;
import org.chivetally.entry.submission.OutcomeDocument;
import org.chivetally.entry.submission.SubmissionCommand;
import org.chivetally.entry.submission.SubmissionCommand.AttachAnswer;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobOutcome.Certainty;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.Attach;
import org.chivetally.wire.v1.ConfigurationPush;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.JobAnswer;
import org.chivetally.wire.v1.MembersPush;
import org.chivetally.wire.v1.SuspicionAnswer;
import org.chivetally.wire.v1.SuspicionQuery;

/** Answers frames on the connections that other processes open to this entry. */
public final class InboundFrames implements FrameListener {
    /** Maximum size of an outcome document in one frame. */
    private static final int MAXIMUM_OUTCOME_BYTES = 3 * 1024 * 1024;

    private final Parts parts;

    /** Creates the listener. */
    public InboundFrames(Parts parts) {
        this.parts = parts;
    }

    @Override
    public void connected(FrameConnection connection) {
        connection.send(Frame.newBuilder()
                .setRequestId(parts.requestIds().getAsLong())
                .setHello(parts.hello().get())
                .build());
    }

    @Override
    public void received(FrameConnection connection, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> parts.introductions().accept(frame.getHello());
            case HEARTBEAT -> answerHeartbeat(connection, frame);
            case ATTACH -> attach(connection, frame.getRequestId(), frame.getAttach());
            case CANCEL -> frame.getCancel().getJobIdsList().forEach(this::cancel);
            case SUSPICION_QUERY -> answerSuspicionQuery(connection, frame.getRequestId(), frame.getSuspicionQuery());
            case CONFIGURATION_PULL -> answerConfigurationPull(connection, frame);
            case MEMBERS_PULL -> answerMembersPull(connection, frame.getRequestId());
            default -> {
                // Answers to requests of this entry arrive on the connections that it opened.
            }
        }
    }

    @Override
    public void disconnected(FrameConnection connection, String reason) {
        // The other process repeats its pending requests on a new connection.
    }

    private void answerHeartbeat(FrameConnection connection, Frame frame) {
        if (frame.getHeartbeat().getAnswer()) {
            return;
        }
        connection.send(Frame.newBuilder()
                .setRequestId(frame.getRequestId())
                .setHeartbeat(Heartbeat.newBuilder()
                        .setAnswer(true)
                        .setConfigurationVersion(parts.configuration().version()))
                .build());
    }

    private void attach(FrameConnection connection, long requestId, Attach attach) {
        if (attach.getJobId().isEmpty()) {
            parts.submissions()
                    .accept(new SubmissionCommand.AskKey(
                            KeyQueries.key(attach), known -> answerKey(connection, requestId, known)));
            return;
        }
        parts.submissions()
                .accept(new SubmissionCommand.Attach(
                        new JobId(attach.getJobId()),
                        answer -> parts.executor().execute(() -> answer(connection, requestId, answer))));
    }

    private static void answerKey(FrameConnection connection, long requestId, boolean known) {
        send(connection, requestId, JobAnswer.newBuilder().setKnown(known));
    }

    private static void answer(FrameConnection connection, long requestId, AttachAnswer answer) {
        JobAnswer.Builder body = JobAnswer.newBuilder()
                .setJobId(answer.job().text())
                .setKnown(answer.outcome().isPresent())
                .setOutcome(answer.outcome()
                        .map(outcome -> limitedDocument(answer.job(), outcome))
                        .orElse(""));
        send(connection, requestId, body);
    }

    private static void send(FrameConnection connection, long requestId, JobAnswer.Builder body) {
        connection.send(
                Frame.newBuilder().setRequestId(requestId).setJobAnswer(body).build());
    }

    // A frame above the size limit of the transport would close the connection, and the requesting entry would
    // reconnect and repeat its request forever. It receives a failure instead that refers the caller to this entry.
    private static String limitedDocument(JobId job, JobOutcome outcome) {
        String document = OutcomeDocument.write(job, outcome);
        if (document.getBytes(StandardCharsets.UTF_8).length <= MAXIMUM_OUTCOME_BYTES) {
            return document;
        }
        String detail = "the whole answer is too large to pass between entries; ask the entry that coordinates the job";
        return OutcomeDocument.write(
                job, new JobOutcome.Failure(ErrorCode.OUTCOME_UNKNOWN, Certainty.UNKNOWN, detail, List.of(), 0));
    }

    private void cancel(String job) {
        if (!job.isEmpty()) {
            parts.submissions().accept(new SubmissionCommand.CancelForPeer(new JobId(job)));
        }
    }

    private void answerSuspicionQuery(FrameConnection connection, long requestId, SuspicionQuery query) {
        Incarnation suspect = new Incarnation(query.getProcessId(), query.getIncarnation());
        parts.probe()
                .accept(
                        suspect,
                        alive -> connection.send(Frame.newBuilder()
                                .setRequestId(requestId)
                                .setSuspicionAnswer(SuspicionAnswer.newBuilder()
                                        .setProcessId(suspect.processId())
                                        .setIncarnation(suspect.incarnation())
                                        .setAlive(alive))
                                .build()));
    }

    private void answerConfigurationPull(FrameConnection connection, Frame frame) {
        long have = frame.getConfigurationPull().getHaveVersion();
        parts.executor()
                .execute(() -> parts.configuration()
                        .forEntry(have)
                        .ifPresent(snapshot -> connection.send(Frame.newBuilder()
                                .setRequestId(frame.getRequestId())
                                .setConfigurationPush(ConfigurationPush.newBuilder()
                                        .setVersion(snapshot.version())
                                        .setSnapshot(ByteString.copyFrom(snapshot.content())))
                                .build())));
    }

    private void answerMembersPull(FrameConnection connection, long requestId) {
        parts.members().accept(known -> {
            MembersPush.Builder push = MembersPush.newBuilder();
            known.forEach(member -> push.addMembers(MemberRecords.toHello(member)));
            connection.send(Frame.newBuilder()
                    .setRequestId(requestId)
                    .setMembersPush(push)
                    .build());
        });
    }

    /**
     * Dependencies of the listener; all are thread-safe.
     *
     * @param hello creates the Hello of this process
     * @param requestIds request ids of this process, never repeated
     * @param introductions receives the Hello of each process that connects
     * @param submissions receives requests about jobs
     * @param probe sends a heartbeat to a member and reports whether it answered
     * @param members passes the members known to this entry to a receiver
     * @param configuration configuration that other entries may pull
     * @param executor writes answers that may be large
     */
    public record Parts(
            Supplier<Hello> hello,
            LongSupplier requestIds,
            Consumer<Hello> introductions,
            Consumer<SubmissionCommand> submissions,
            BiConsumer<Incarnation, Consumer<Boolean>> probe,
            Consumer<Consumer<List<Member>>> members,
            ConfigurationExchange configuration,
            Executor executor) {}
}
