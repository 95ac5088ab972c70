package org.chivetally.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.chivetally.document.Section;
import org.chivetally.load.Fault.MinionDrain;
import org.chivetally.load.Fault.ProcessFault;
import org.chivetally.load.Fault.StandInFault;

/**
 * The faults of a run.
 *
 * @param faults all faults, sorted by time of injection
 */
public record FaultSchedule(List<Fault> faults) {
    /** No faults. */
    public static final FaultSchedule NONE = new FaultSchedule(List.of());

    /** Sorts and copies the list. */
    public FaultSchedule {
        faults = faults.stream().sorted(Comparator.comparing(Fault::at)).toList();
    }

    /** Returns the faults of stand-ins. */
    public List<StandInFault> standInFaults() {
        return faults.stream()
                .filter(StandInFault.class::isInstance)
                .map(StandInFault.class::cast)
                .toList();
    }

    /** Returns the drains of minions. */
    public List<MinionDrain> minionDrains() {
        return faults.stream()
                .filter(MinionDrain.class::isInstance)
                .map(MinionDrain.class::cast)
                .toList();
    }

    /** Returns the faults of processes. */
    public List<ProcessFault> processFaults() {
        return faults.stream()
                .filter(ProcessFault.class::isInstance)
                .map(ProcessFault.class::cast)
                .toList();
    }

    /**
     * Returns the steps for the script that injects process faults, sorted by time. Each line holds the milliseconds
     * since the beginning of the run, the action ({@code pause}, {@code resume}, {@code kill}, {@code terminate} or
     * {@code start}), and the name of the process.
     */
    public List<String> processSteps() {
        List<Step> steps = new ArrayList<>();
        for (ProcessFault fault : processFaults()) {
            steps.add(new Step(fault.at().toMillis(), Section.kebabCase(fault.action()), fault.target()));
            if (fault.duration().isPositive()) {
                long endMillis = fault.at().plus(fault.duration()).toMillis();
                steps.add(new Step(endMillis, endAction(fault.action()), fault.target()));
            }
        }
        steps.sort(Comparator.comparingLong(Step::millis));
        return steps.stream()
                .map(step -> step.millis() + " " + step.action() + " " + step.target())
                .toList();
    }

    private static String endAction(Fault.Action action) {
        return switch (action) {
            case PAUSE -> "resume";
            case KILL, TERMINATE -> "start";
        };
    }

    private record Step(long millis, String action, String target) {}
}
