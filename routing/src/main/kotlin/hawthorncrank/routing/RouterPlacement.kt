package hawthorncrank.routing

import hawthorncrank.scheduling.Placement
import hawthorncrank.scheduling.PlacementAnswer
import hawthorncrank.scheduling.PlacementQuestion
import hawthorncrank.scheduling.QueuedWork

/**
 * The scheduler's [Placement] by a router, with request numbers as attempt numbers. [constraint] gives the constraint
 * of a request. A target without any eligible upstream counts as having no room.
 */
fun routerPlacement(
    now: Long,
    constraint: (QueuedWork) -> PlacementConstraint = { PlacementConstraint() },
): Placement<Router> =
    Placement(
        place = { router, question -> place(router, question, constraint(question.work), now) },
        release = { router, requestNumber -> router.attemptEnded(requestNumber) },
    )

private fun place(
    router: Router,
    question: PlacementQuestion,
    constraint: PlacementConstraint,
    now: Long,
): PlacementAnswer<Router> {
    val work = question.work
    val routingQuestion =
        RoutingQuestion(
            work,
            question.tier,
            question.capacity,
            constraint,
            question.preemptableTier,
            question.likelyMaximumTokens,
        )
    return when (val answer = router.place(routingQuestion, now)) {
        is RoutingAnswer.Chosen -> {
            val attempt =
                RoutedAttempt(
                    work.requestNumber,
                    answer.upstream,
                    work,
                    question.tier,
                    question.capacity,
                    constraint.isolated,
                    question.likelyMaximumTokens,
                )
            val started = answer.router.attemptStarted(attempt, now)
            PlacementAnswer.Placed(answer.upstream, answer.overcommitted, started)
        }
        RoutingAnswer.ConstraintUnmet, RoutingAnswer.Held -> PlacementAnswer.RequestNotPlaceable
        RoutingAnswer.NoRoom, RoutingAnswer.NoUpstream -> PlacementAnswer.NoRoom
    }
}
