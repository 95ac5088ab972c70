package org.chivetally.queue.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.queue.share.QueueLoad;
import org.chivetally.queue.share.QueueLoads;
import org.chivetally.wire.v1.EntryBeat;
import org.chivetally.wire.v1.QueueDemand;

/** Converts the loads of queues to and from the heartbeats between entries. */
final class QueueDemandCodec {
    private QueueDemandCodec() {}

    static List<QueueDemand> encode(Map<String, QueueLoads> byService) {
        List<QueueDemand> encoded = new ArrayList<>();
        for (Map.Entry<String, QueueLoads> service : byService.entrySet()) {
            for (String queue : service.getValue().queues()) {
                QueueLoad load = service.getValue().of(queue);
                encoded.add(QueueDemand.newBuilder()
                        .setService(service.getKey())
                        .setQueue(queue)
                        .setRunningMillis(load.runningMillicores())
                        .setWaitingMillis(load.waitingMillicores())
                        .build());
            }
        }
        return encoded;
    }

    static Map<String, QueueLoads> decode(EntryBeat beat) {
        Map<String, QueueLoads> byService = new HashMap<>();
        for (QueueDemand demand : beat.getQueueDemandList()) {
            QueueLoads loads = byService.get(demand.getService());
            if (loads == null) {
                loads = new QueueLoads();
                byService.put(demand.getService(), loads);
            }
            // Bounds invalid amounts, as another implementation may send, before they are added up.
            QueueLoad load = new QueueLoad(demand.getRunningMillis(), demand.getWaitingMillis());
            loads.add(demand.getQueue(), load.runningMillicores(), load.waitingMillicores());
        }
        return byService;
    }
}
