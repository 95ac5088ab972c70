package org.chivetally.entry.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.pekko.actor.testkit.typed.javadsl.BehaviorTestKit;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.link.HeartbeatSettings;
import org.chivetally.entry.link.LinkSet;
import org.chivetally.entry.link.LinkSignal;
import org.chivetally.entry.link.Observers;
import org.chivetally.entry.member.EndedMember;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberCapacity;
import org.chivetally.entry.member.MemberList;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.wire.v1.Hello;
import org.junit.jupiter.api.Test;

class PeerActorTest {
    private static final SubmissionKey KEY = new SubmissionKey("team", "key");
    private static final long DEPARTURE = 100;

    private long now;
    private final BehaviorTestKit<PeerCommand> actor = BehaviorTestKit.create(PeerActor.create(new PeerActor.Parts(
            "entry-1",
            this::wiring,
            HeartbeatSettings.standard(),
            (job, outcome) -> {},
            introduced -> {},
            new Observers(),
            new AtomicLong()::incrementAndGet,
            event -> {},
            ConfigurationExchange.none(),
            () -> true,
            () -> now)));

    // While this entry can't read the claims, another entry claims a key, runs its job and leaves. It can't be queried,
    // and that no other entry knows the key is no proof that nothing ran. Only claims read after it left would show the
    // key.
    @Test
    void aKeyIsNotUnknownToAllIfAnEntryLeftSinceTheClaimsWereRead() {
        assertThat(isUnknownToAll(DEPARTURE - 1), is(true));
        view(List.of(member()), List.of());
        now = DEPARTURE;
        view(List.of(), List.of());
        assertThat(isUnknownToAll(DEPARTURE - 1), is(false));
        assertThat(isUnknownToAll(DEPARTURE + 1), is(true));
    }

    // As above, but the entry joined and left between two reads of the members, so that it was never listed as one.
    @Test
    void anEntryThatJoinedAndLeftBetweenTwoReadsIsADeparture() {
        view(List.of(), List.of());
        now = DEPARTURE;
        view(List.of(), List.of(EndedMember.of(member(), EndedMember.Reason.LEFT)));
        assertThat(isUnknownToAll(DEPARTURE - 1), is(false));
        assertThat(isUnknownToAll(DEPARTURE + 1), is(true));
    }

    private boolean isUnknownToAll(long sinceNanos) {
        CompletableFuture<Boolean> unknownToAll = new CompletableFuture<>();
        actor.run(new PeerCommand.QueryKey(KEY, sinceNanos, unknownToAll));
        return unknownToAll.join();
    }

    private void view(List<Member> members, List<EndedMember> ended) {
        actor.run(new PeerCommand.MembersChanged(new MemberList(members, Set.of(), ended)));
    }

    private LinkSet.Wiring wiring(Consumer<LinkSignal> signals) {
        return new LinkSet.Wiring(
                (host, port, listener) -> {},
                Hello::getDefaultInstance,
                new AtomicLong()::incrementAndGet,
                () -> 0,
                new SplittableRandom(1),
                signals);
    }

    private static Member member() {
        return new Member(
                "entry-2", "1", Member.ENTRY, new Address("10.0.0.2", 7000), "north", "", "", MemberCapacity.NONE);
    }
}
